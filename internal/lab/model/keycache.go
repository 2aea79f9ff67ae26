package model

// The cache of keys: a backend serves a request for a cached key with less work.

// cacheKey caches a key. If the cache is full, the least recently served key is evicted.
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
