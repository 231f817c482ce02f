package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// buildConfig turns the collected settings into a Config.
func (m *merger) buildConfig() Config {
	config := Config{Services: map[string]Service{}, Teams: map[string]Team{}}
	for _, name := range m.sectionNames("teams") {
		var team Team
		setNumbers(m, &team, teamFields, name)
		config.Teams[name] = team
	}
	for _, name := range m.sectionNames("services") {
		var service Service
		setNumbers(m, &service, serviceFields, name)
		service.Teams = m.serviceTeams(name, config.Teams)
		config.Services[name] = service
	}
	setNumbers(m, &config.Limits, limitsFields, "")
	return config
}

// sectionNames returns the names of all services or teams, sorted.
func (m *merger) sectionNames(section string) []string {
	node := m.settings.get(section)
	if node == nil {
		return nil
	}
	var names []string
	for name, child := range node.children {
		if child.setting != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// setNumbers sets every field of dst that holds a number to its setting or its
// default, and records the values for display.
func setNumbers[T any](m *merger, dst *T, fields []numberField[T], name string) {
	for _, f := range fields {
		path, value := settingPath(f.Field, name), f.Default
		if s, ok := m.settings.lookup(path); ok {
			value = s.number
		}
		f.set(dst, value)
		m.addValue(path, strconv.FormatInt(value, 10), f.Unit)
	}
}

// settingPath returns the path of a field for the service or team with the given
// name.
func settingPath(f Field, name string) string { return strings.Replace(f.Path, nameWildcard, name, 1) }

// addValue records a value for display, with the file that set it.
func (m *merger) addValue(path, text, unit string) {
	s, _ := m.settings.lookup(path)
	m.values = append(m.values, Value{Path: path, Text: text, Unit: unit, File: s.file})
}

// serviceTeams returns the teams that may submit to a service, or nil if every
// team may. The name of a team that does not exist is left out and reported. If no
// name remains, the list stays non-nil and admits no team.
func (m *merger) serviceTeams(service string, teams map[string]Team) []string {
	path := settingPath(serviceTeamsField, service)
	s, ok := m.settings.lookup(path)
	if !ok {
		m.addValue(path, "every team", "")
		return nil
	}
	teamNames := existingTeams(m, path, s, teams)
	m.addValue(path, "["+strings.Join(teamNames, ", ")+"]", "")
	return teamNames
}

// existingTeams returns the listed teams that exist, and reports the others.
func existingTeams(m *merger, path string, s setting, teams map[string]Team) []string {
	existing := []string{}
	for _, name := range s.list {
		if _, exists := teams[name]; exists {
			existing = append(existing, name)
			continue
		}
		message := fmt.Sprintf("team %q does not exist", name)
		if nearest := NearestName(name, slices.Sorted(maps.Keys(teams))); nearest != "" {
			message += fmt.Sprintf(", nearest known name is %q", nearest)
		}
		m.faults = append(m.faults, Fault{File: s.file, Line: s.line, Field: path, Message: message,
			Expected: "names of teams"})
	}
	return existing
}
