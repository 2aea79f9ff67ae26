package model

// The keys that a backend has served lately, and serves again for less work.

// cacheKey caches a key, in place of the one used longest ago if the cache is full.
func (m *Machine) cacheKey(key uint64) {
	if _, known := m.keyCache[key]; !known && len(m.keyCache) >= m.MaxKeys {
		oldest, at := uint64(0), never
		for k, t := range m.keyCache {
			if t < at || t == at && k < oldest {
				oldest, at = k, t
			}
		}
		delete(m.keyCache, oldest)
	}
	if m.MaxKeys > 0 {
		m.keyCache[key] = m.now
	}
}
