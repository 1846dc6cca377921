package settings

// wireSettings is the part of the JSON settings object that this program uses; other keys are ignored. Times are in
// nanoseconds. The nested structs are anonymous because encoding/json includes the names of struct types in its error
// messages.
type wireSettings struct {
	Zone                    int      `json:"az"`
	Zones                   []string `json:"areas"`
	MachineTypes            []string `json:"kinds"`
	Self                    uint32   `json:"my_number"`
	Relays                  int      `json:"replicas_of_me"`
	OverQuotaPriorityWeight float64  `json:"over_share_worth"`
	Discovery               string   `json:"discovery"`
	Classes                 []struct {
		Name               string  `json:"name"`
		Idempotency        string  `json:"repeat"`
		DedupScope         string  `json:"group"`
		DedupWindow        float64 `json:"repeat_window"`
		LatencyObjective   float64 `json:"target"`
		ObjectivePerWork   float64 `json:"aim_stretch"`
		Deadline           float64 `json:"deadline"`
		PriorityWeight     float64 `json:"worth"`
		LatePriorityWeight float64 `json:"late_worth"`
		Streamed           bool    `json:"streamed"`
	} `json:"grades"`
	Tenants []struct {
		Name         string  `json:"name"`
		TrafficShare float64 `json:"share"`
		QuotaPerSec  float64 `json:"quota_per_s"`
	} `json:"tenants"`
	Limits struct {
		MaxAttempts         int     `json:"max_attempts"`
		CancelAttempts      bool    `json:"cancel"`
		HealthChecks        bool    `json:"probes"`
		PeerMessages        bool    `json:"may_tell"`
		HedgedRequests      bool    `json:"parallel_tries"`
		RetryAfter          bool    `json:"retry_after"`
		MaxRetryAfter       float64 `json:"max_retry_after"`
		ConnectTimeout      float64 `json:"dial_timeout"`
		EndpointIdleTimeout float64 `json:"conn_idle"`
		MaxInFlight         int     `json:"most_held"`
	} `json:"policy_limits"`
	Rules struct {
		AnswerSlack      float64 `json:"answer_slack"`
		DrainGrace       float64 `json:"drain_grace"`
		PollInterval     float64 `json:"ask_every"`
		SlowStartFloor   float64 `json:"cold_from"`
		SlowStartTime    float64 `json:"warm_up"`
		OverloadMultiple float64 `json:"fall_multiple"`
		OverloadWindow   float64 `json:"fall"`
	} `json:"rules"`
	Rollout struct {
		Control              string    `json:"decided_by"`
		Replacement          string    `json:"swap"`
		ExposureLimits       []float64 `json:"exposure_caps"`
		StageShares          []float64 `json:"waves"`
		ExposureAllowance    float64   `json:"uncounted"`
		ExposureWindow       float64   `json:"span"`
		CountedBy            string    `json:"counted_by"`
		IdempotentOnlyStages int       `json:"guarded_stages"`
		StickyKeys           bool      `json:"no_return"`
		KeyLocality          bool      `json:"warm_keys"`
		PromoteQuorum        int       `json:"to_advance"`
		RollBackQuorum       int       `json:"to_abort"`
		HoldQuorum           int       `json:"votes_to_hold"`
		VoteTTL              float64   `json:"ballot_ttl"`
		CallTimeout          float64   `json:"call_timeout"`
		StatusInterval       float64   `json:"repeat_every"`
		VotesPerSec          float64   `json:"votes_per_s"`
		MinStageTime         float64   `json:"min_dwell"`
		MaxStageTime         float64   `json:"moves_after"`
		ReportedShare        float64   `json:"reported_share"`
		DelayCost            float64   `json:"lag_fee"`
		HarmCost             float64   `json:"harm_price"`
	} `json:"family_info"`
	LoadReport struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Costs struct {
		CrossZone   float64 `json:"cross_zone"`
		Waste       float64 `json:"waste"`
		HealthCheck float64 `json:"probe"`
		Message     float64 `json:"peer"`
		LateFailure float64 `json:"late_fail"`
	} `json:"penalties"`
}

// Values of settings that select one of several options. An unknown value selects the default.
const (
	listOnRequest      = "subscribe"  // value of discovery
	reportInAttempts   = "inline"     // value of report.via
	noLoadReport       = "off"        // value of report.via
	controlledByQuorum = "by_count"   // value of family_info.decided_by
	controlledByTime   = "automatic"  // value of family_info.decided_by
	replacedInPlace    = "replace"    // value of family_info.swap
	countedByClass     = "each_class" // value of family_info.counted_by
	idempotent         = "retryable"  // value of grades.repeat
	idempotencyKeyed   = "dedup"      // value of grades.repeat
	dedupAll           = "all"        // value of grades.group
	dedupZone          = "zone"       // value of grades.group
)
