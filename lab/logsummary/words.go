package logsummary

// Current terms by the terms that earlier versions logged, so that logs of all versions can be summarized together. No earlier
// term has another meaning today, so a line can be interpreted without knowing its date. CHANGELOG.md has the complete table,
// including counters and fields, which are not part of a kind.
var (
	// renamedMessages holds messages up to their first colon.
	renamedMessages = map[string]string{
		"a unit did not understand a query":          "endpoint reported a protocol error",
		"entries that can't be read":                 "unreadable endpoint list entries",
		"no list to start with":                      "no endpoint list at start",
		"message too long":                           "peer message too long",
		"message not sent":                           "peer message not sent",
		"reading messages":                           "peer message read failed",
		"configuration refused, the old one stays":   "configuration rejected, keeping the old one",
		"plan refused, the old one stays":            "plan rejected, keeping the old one",
		"ending":                                     "shutting down",
		"the plan names no address to watch it at":   "plan names no watch address for a dependency",
		"narrowed by the plan":                       "exposure limit lowered by the plan",
		"plan":                                       "promotion gate",
		"a torn last record was cut off the journal": "truncated a torn record at the end of the journal",
		"journal begun anew":                         "journal compacted",
		"event refused":                              "event rejected",
		"release":                                    "rollout event",
		"desk open":                                  "release controller ready",
	}
	renamedPeers = map[string]string{
		"unit":   "endpoint",
		"roster": "discovery",
	}
	renamedReasons = map[string]string{
		"cancel":       "cancel_request",
		"bound":        "limit_reached",
		"connect_late": "connect_timeout",
		"refused":      "connect_failed",
		"given_up":     "attempt_ended",
		"idle":         "idle_timeout",
		"moved":        "address_changed",
		"leaving":      "draining",
		"ordered":      "closed_by_policy",
		"answer_late":  "response_timeout",
	}
)

// currentTerm returns the current term for a term of a log, which is the term itself if it was not renamed.
func currentTerm(renamed map[string]string, term string) string {
	if current, ok := renamed[term]; ok {
		return current
	}
	return term
}
