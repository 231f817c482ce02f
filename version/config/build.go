package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
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
	node := m.set.get(section)
	if node == nil {
		return nil
	}
	var names []string
	for name, member := range node.members {
		if member.setting != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// fill sets every number of target to its setting or its default.
func fill[T any](m *merger, target *T, fields []numberField[T], name string) {
	for _, f := range fields {
		path, value := pathFor(f.Field, name), f.Default
		if s, ok := m.set.value(path); ok {
			value = s.number
		}
		f.set(target, value)
		m.addValue(path, strconv.FormatInt(value, 10), f.Unit)
	}
}

func pathFor(f Field, name string) string { return strings.Replace(f.Path, anyName, name, 1) }

func (m *merger) addValue(path, text, unit string) {
	s, _ := m.set.value(path)
	m.values = append(m.values, Value{Path: path, Text: text, Unit: unit, File: s.file})
}

// serviceTeams returns the teams that may submit to a service. A name of a team
// that does not exist is left out and reported. A list that loses all its names
// stays a list that admits none.
func (m *merger) serviceTeams(service string, teams map[string]Team) []string {
	path := pathFor(serviceTeamsField, service)
	s, ok := m.set.value(path)
	if !ok {
		m.addValue(path, "every team", "")
		return nil
	}
	admitted := admittedTeams(m, path, s, teams)
	m.addValue(path, "["+strings.Join(admitted, ", ")+"]", "")
	return admitted
}

func admittedTeams(m *merger, path string, s setting, teams map[string]Team) []string {
	admitted := []string{}
	for _, name := range s.list {
		if _, known := teams[name]; known {
			admitted = append(admitted, name)
			continue
		}
		message := fmt.Sprintf("team %q does not exist", name)
		if close := Nearest(name, slices.Sorted(maps.Keys(teams))); close != "" {
			message += fmt.Sprintf(", nearest known name is %q", close)
		}
		m.faults = append(m.faults, Fault{File: s.file, Line: s.line, Field: path, Message: message,
			Expected: "names of teams"})
	}
	return admitted
}
