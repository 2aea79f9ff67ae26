package wire

// The settings object, which OpenInstance messages and agents' configurations contain.

import (
	"encoding/json"
	"fmt"
	"time"

	"martenbeam/balancer"
)

// settingsDoc is the settings object as JSON. Its fields have the names of the protocol. Times are in milliseconds.
type settingsDoc struct {
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
	Regions []int    `json:"Regions"` // region of each zone in Dcs, by number; the platform does not set this key
	Dcs     []string `json:"Dcs"`
	Kinds   []string `json:"Kinds"`
	Report  struct {
		Source string `json:"Source"`
	} `json:"Report"`
}

// Site holds the parts of the settings object that an agent needs in addition to the settings of package balancer.
type Site struct {
	Classes      []string      // names, in the order of balancer.Settings.Classes
	Zones, Kinds []string      // names, by number
	IdleClose    time.Duration // idle time after which a backend closes a connection
	MaxOpen      int           // requests that may be open at once; 0: no limit
	LoadInline   bool          // responses carry load reports
	LoadProbed   bool          // responses to probes carry load reports
}

// ParseSettings translates the settings object. Unknown keys are ignored. An unknown Semantics or Group of a class is an
// error that names the key; an unknown CountedBy, MembershipMode or Report.Source is treated as absent. balancer.New checks
// the other values that the balancer uses.
func ParseSettings(raw []byte) (balancer.Settings, Site, error) {
	var doc settingsDoc
	if err := json.Unmarshal(raw, &doc); err != nil {
		return balancer.Settings{}, Site{}, err
	}
	settings, err := doc.balancerSettings()
	site := Site{Zones: doc.Dcs, Kinds: doc.Kinds, IdleClose: fromMillis(doc.PolicyLimits.IdleCloseMs),
		MaxOpen:    int(doc.PolicyLimits.MaxOpen),
		LoadInline: doc.Report.Source == "inline", LoadProbed: doc.Report.Source == "on_probe"}
	for _, profile := range doc.Profiles {
		site.Classes = append(site.Classes, profile.Name)
	}
	return settings, site, err
}

// balancerSettings returns the part of the settings that package balancer uses.
func (doc *settingsDoc) balancerSettings() (balancer.Settings, error) {
	settings := balancer.Settings{
		Balancers:        doc.Balancers,
		Self:             doc.Me,
		Zone:             doc.Zone,
		WeightByWork:     doc.CountedBy == "work",
		Subscribe:        doc.MembershipMode == "subscribe",
		Tick:             fromMillis(doc.TickMs),
		MaxAttempts:      doc.PolicyLimits.TryLimit,
		HedgingAllowed:   doc.PolicyLimits.SecondCopies,
		ProbingAllowed:   doc.PolicyLimits.MayProbe,
		CancelAllowed:    doc.PolicyLimits.Cancel,
		RetryAfter:       doc.PolicyLimits.RetryAfter,
		GossipAllowed:    doc.PolicyLimits.Peers,
		MaxRetryAfter:    fromMillis(doc.PolicyLimits.MaxRetryAfterMs),
		ConnectTimeout:   fromMillis(doc.PolicyLimits.ConnectTimeoutMs),
		DrainGrace:       fromMillis(doc.Contract.DrainGraceMs),
		AnswerGrace:      fromMillis(doc.Contract.GraceToAnswerMs),
		PollInterval:     fromMillis(doc.Contract.AskWithinMs),
		InitialCapacity:  doc.Contract.ColdFrom,
		SlowStartWindow:  fromMillis(doc.Contract.RampTimeMs),
		OverloadMultiple: doc.Contract.FallMultiple,
		OverloadWindow:   fromMillis(doc.Contract.FallMs),
		GoalOverall:      doc.Goal.Whole,
		GoalWorstWindow:  doc.Goal.WorstWindow,
		GoalWorstClass:   doc.Goal.WorstClass,
		CrossZoneCost:    doc.Prices.CrossZone, CrossRegionCost: doc.Prices.CrossRegion, Regions: doc.Regions,
		KeyAffinity: doc.FamilyInfo.WarmKeys,
	}
	var err error
	settings.Classes, err = doc.classes()
	return settings, err
}

// idempotencies translates Profiles[].Semantics.
var idempotencies = map[string]balancer.Idempotency{
	"repeatable": balancer.Idempotent, "by_key": balancer.IdempotencyKey, "once": balancer.NonIdempotent}

// idempotencyScopes translates Profiles[].Group.
var idempotencyScopes = map[string]balancer.IdempotencyScope{
	"": balancer.ScopeAll, "all": balancer.ScopeAll,
	"zone": balancer.ScopeZone, "cell": balancer.ScopeCell}

// classes translates Profiles.
func (doc *settingsDoc) classes() (classes []balancer.Class, err error) {
	for i, profile := range doc.Profiles {
		idempotency, ok := idempotencies[profile.Semantics]
		if !ok {
			return classes, fmt.Errorf("Profiles[%d].Semantics: unknown kind %q", i, profile.Semantics)
		}
		scope, ok := idempotencyScopes[profile.Group]
		if !ok {
			return classes, fmt.Errorf("Profiles[%d].Group: unknown group %q", i, profile.Group)
		}
		classes = append(classes, balancer.Class{
			LatencyObjective: fromMillis(profile.AimMs), Deadline: fromMillis(profile.DeadlineMs),
			PriorityWeight: profile.Worth, LateWeight: profile.LateValue,
			Idempotency: idempotency, Scope: scope, DedupWindow: fromMillis(profile.WindowMs),
		})
	}
	return classes, nil
}
