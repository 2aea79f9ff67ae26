package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"martenbeam/balancer"
)

// facts mirrors the settings object of the wire, in the wire's own names.
type facts struct {
	Balancers int    `json:"Balancers"`
	Me        int    `json:"Me"`
	Zone      int    `json:"Zone"`
	CountedBy string `json:"CountedBy"`
	Profiles  []struct {
		Name       string  `json:"Name"`
		AimMs      float64 `json:"AimMs"`
		DeadlineMs float64 `json:"DeadlineMs"`
		Worth      float64 `json:"Worth"`
		LateValue  float64 `json:"LateValue"`
		Semantics  string  `json:"Semantics"`
		Group      string  `json:"Group"`
		WindowMs   float64 `json:"WindowMs"`
	} `json:"Profiles"`
	MembershipMode string  `json:"MembershipMode"`
	TickMs         float64 `json:"TickMs"`
	PolicyLimits   struct {
		TryLimit         int     `json:"TryLimit"`
		SecondCopies     bool    `json:"SecondCopies"`
		MayProbe         bool    `json:"MayProbe"`
		Cancel           bool    `json:"Cancel"`
		RetryAfter       bool    `json:"RetryAfter"`
		Peers            bool    `json:"Peers"`
		MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
		ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
		IdleCloseMs      float64 `json:"IdleCloseMs"`
		MaxOpen          float64 `json:"MaxOpen"`
	} `json:"PolicyLimits"`
	Contract struct {
		DrainGraceMs    float64 `json:"DrainGraceMs"`
		GraceToAnswerMs float64 `json:"GraceToAnswerMs"`
		AskWithinMs     float64 `json:"AskWithinMs"`
		ColdFrom        float64 `json:"ColdFrom"`
		RampTimeMs      float64 `json:"RampTimeMs"`
		FallMultiple    float64 `json:"FallMultiple"`
		FallMs          float64 `json:"FallMs"`
	} `json:"Contract"`
	FamilyInfo struct {
		WarmKeys bool `json:"WarmKeys"`
	} `json:"FamilyInfo"`
	Goal struct {
		Whole       float64 `json:"Whole"`
		WorstWindow float64 `json:"WorstWindow"`
		WorstClass  float64 `json:"WorstClass"`
	} `json:"Goal"`
	Prices struct {
		CrossZone   float64 `json:"CrossZone"`
		CrossRegion float64 `json:"CrossRegion"`
	} `json:"Prices"`
	Regions []int    `json:"Regions"` // of the zones in Dcs; not on the platform
	Dcs     []string `json:"Dcs"`
	Kinds   []string `json:"Kinds"`
	Report  struct {
		Source string `json:"Source"`
	} `json:"Report"`
}

// Site is what an agent on sockets needs of the settings object besides what the module takes.
type Site struct {
	Classes      []string // names, in the order of the module's classes
	Zones, Kinds []string
	IdleClose    time.Duration // a backend closes a connection idle for so long
	MaxOpen      int           // requests that may be open at once; 0: no limit
	LoadInline   bool          // answers carry load reports
	LoadProbed   bool          // probes bring load reports
}

// ParseSettings translates the settings object. Unknown keys are ignored.
func ParseSettings(raw []byte) (balancer.Settings, Site, error) {
	var f facts
	if err := json.Unmarshal(raw, &f); err != nil {
		return balancer.Settings{}, Site{}, err
	}
	s, err := f.settings()
	site := Site{Zones: f.Dcs, Kinds: f.Kinds, IdleClose: duration(f.PolicyLimits.IdleCloseMs),
		MaxOpen:    int(f.PolicyLimits.MaxOpen),
		LoadInline: f.Report.Source == "inline", LoadProbed: f.Report.Source == "on_probe"}
	for _, p := range f.Profiles {
		site.Classes = append(site.Classes, p.Name)
	}
	return s, site, err
}

func (f *facts) settings() (balancer.Settings, error) {
	s := balancer.Settings{
		Balancers:        f.Balancers,
		Self:             f.Me,
		Zone:             f.Zone,
		WeightByWork:     f.CountedBy == "work",
		Subscribe:        f.MembershipMode == "subscribe",
		Tick:             duration(f.TickMs),
		MaxAttempts:      f.PolicyLimits.TryLimit,
		HedgingAllowed:   f.PolicyLimits.SecondCopies,
		ProbingAllowed:   f.PolicyLimits.MayProbe,
		CancelAllowed:    f.PolicyLimits.Cancel,
		RetryAfter:       f.PolicyLimits.RetryAfter,
		GossipAllowed:    f.PolicyLimits.Peers,
		MaxRetryAfter:    duration(f.PolicyLimits.MaxRetryAfterMs),
		ConnectTimeout:   duration(f.PolicyLimits.ConnectTimeoutMs),
		DrainGrace:       duration(f.Contract.DrainGraceMs),
		AnswerGrace:      duration(f.Contract.GraceToAnswerMs),
		PollInterval:     duration(f.Contract.AskWithinMs),
		InitialCapacity:  f.Contract.ColdFrom,
		SlowStartWindow:  duration(f.Contract.RampTimeMs),
		OverloadMultiple: f.Contract.FallMultiple,
		OverloadWindow:   duration(f.Contract.FallMs),
		GoalOverall:      f.Goal.Whole,
		GoalWorstWindow:  f.Goal.WorstWindow,
		GoalWorstClass:   f.Goal.WorstClass,
		CrossZoneCost:    f.Prices.CrossZone, CrossRegionCost: f.Prices.CrossRegion, Regions: f.Regions,
		KeyAffinity: f.FamilyInfo.WarmKeys,
	}
	effects := map[string]balancer.Idempotency{
		"repeatable": balancer.Idempotent, "by_key": balancer.IdempotencyKey, "once": balancer.NonIdempotent}
	groups := map[string]balancer.IdempotencyScope{
		"": balancer.ScopeAll, "all": balancer.ScopeAll,
		"zone": balancer.ScopeZone, "cell": balancer.ScopeCell}
	for i, p := range f.Profiles {
		effect, ok := effects[p.Semantics]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Semantics: unknown kind %q", i, p.Semantics)
		}
		group, ok := groups[p.Group]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Group: unknown group %q", i, p.Group)
		}
		s.Classes = append(s.Classes, balancer.Class{
			LatencyObjective: duration(p.AimMs), Deadline: duration(p.DeadlineMs),
			PriorityWeight: p.Worth, LateWeight: p.LateValue,
			Idempotency: effect, Scope: group, DedupWindow: duration(p.WindowMs),
		})
	}
	return s, nil
}
