package quota

import "time"

// TeamDump is the state of one team's quota at this entry.
type TeamDump struct {
	Team string `json:"team"`
	// Quota is the rate of all entries together, Rate what this entry may use
	// now, and Demand what its callers requested in the last second. All are in
	// task starts per second.
	Quota  float64 `json:"quota"`
	Rate   float64 `json:"rate"`
	Demand float64 `json:"demand"`
	// Saved is the number of starts saved up; it is negative after a large
	// job.
	Saved float64 `json:"saved"`
}

// Dump returns the teams with a quota, by name.
func (s *Shares) Dump(now time.Time) []TeamDump {
	var dumps []TeamDump
	for _, name := range s.teamNames() {
		d := TeamDump{Team: name, Quota: s.quotas[name].Rate, Rate: s.Rate(now, name), Demand: s.demand(now, name)}
		if t := s.teams[name]; t != nil {
			d.Saved = t.tokens
		}
		dumps = append(dumps, d)
	}
	return dumps
}
