package logsummary

// The words of logs written before the log took the field's terms, with the present ones. No earlier word has another
// meaning today, so a line is understood without its date. CHANGELOG.md has the whole table, with the names of counters
// and fields, which are no part of a kind.
var (
	// renamedMessages has messages up to their first colon.
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

// present gives the present word for one of a log, which is the word itself where it did not change.
func present(renamed map[string]string, word string) string {
	if now, ok := renamed[word]; ok {
		return now
	}
	return word
}
