package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// build turns the collected settings into a Config.
func (m *merger) build() Config {
	config := Config{Services: map[string]Service{}, Teams: map[string]Team{}}
	for _, name := range m.entries("teams") {
		var team Team
		fill(m, &team, teamFields, name)
		config.Teams[name] = team
	}
	for _, name := range m.entries("services") {
		var service Service
		fill(m, &service, serviceFields, name)
		service.Teams = m.serviceTeams(name, config.Teams)
		config.Services[name] = service
	}
	fill(m, &config.Limits, limitsFields, "")
	return config
}

// entries returns the names of the services or teams, sorted.
func (m *merger) entries(section string) []string {
	var names []string
	for path := range m.set {
		name, ok := strings.CutPrefix(path, section+".")
		if ok && !strings.Contains(name, ".") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// fill sets every number of target to its setting or its default.
func fill[T any](m *merger, target *T, fields []numberField[T], name string) {
	for _, f := range fields {
		value := f.Default
		if s, ok := m.set[strings.Replace(f.Path, anyName, name, 1)]; ok {
			value = s.number
		}
		f.set(target, value)
	}
}

// serviceTeams returns the teams that may submit to a service. A name of a team
// that does not exist is left out and reported. A list that loses all its names
// stays a list that admits none.
func (m *merger) serviceTeams(service string, teams map[string]Team) []string {
	path := strings.Replace(serviceTeamsField.Path, anyName, service, 1)
	s, ok := m.set[path]
	if !ok {
		return nil
	}
	admitted := []string{}
	for _, name := range s.list {
		if _, known := teams[name]; known {
			admitted = append(admitted, name)
			continue
		}
		message := fmt.Sprintf("team %q does not exist", name)
		if close := nearest(name, slices.Sorted(maps.Keys(teams))); close != "" {
			message += fmt.Sprintf(", nearest known name is %q", close)
		}
		m.faults = append(m.faults, Fault{File: s.file, Line: s.line, Field: path, Message: message,
			Expected: "names of teams"})
	}
	return admitted
}
