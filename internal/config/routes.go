package config

import (
	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/routes"
)

// ReadRoutes reads a route configuration from a file, for packages that check it further: it does not have to be valid
// for routes.Validate. It fails with *Error.
func ReadRoutes(path string) (routes.Put, error) {
	file, err := load(path, KindRoutes, noRoutesCheck, noSecrets)
	return putFromFile(file), err
}

// DecodeRoutes decodes a configuration that FormatRoutes formatted. Unlike the text of an operator, it is not checked
// against the schema, which a configuration in another format need not follow.
func DecodeRoutes(content []byte) (routes.Put, error) {
	var file settings.RoutesFile
	if err := yaml.Unmarshal(content, &file); err != nil {
		return routes.Put{}, errors.Wrap(err, "decode route configuration")
	}
	return putFromFile(file), nil
}

// ParseRoutes parses a route configuration in YAML; name stands for the file in error messages. It
// fails with *Error.
func ParseRoutes(name string, content []byte) (routes.Put, error) {
	file, problems := decodeAndCheck(content, KindRoutes, checkRoutes)
	if len(problems) > 0 {
		return routes.Put{}, &Error{File: name, Problems: problems}
	}
	return putFromFile(file), nil
}

// FormatRoutes formats the configuration in force as YAML. Base is set to the configuration's own
// version, so that the text can be edited and submitted as the next version.
func FormatRoutes(c routes.Config) ([]byte, error) {
	file := settings.RoutesFile{
		Version: int(c.Version),
		Base:    int(c.Version),
		Limits: settings.LimitsEntry{
			HeaderBytes: int(c.Limits.HeaderBytes),
			BodyBytes:   int(c.Limits.BodyBytes),
			HeaderMs:    int(c.Limits.HeaderMillis),
			IdleMs:      int(c.Limits.IdleMillis),
		},
	}
	for _, s := range c.Services {
		file.Services = append(file.Services, serviceEntry(s))
	}
	for _, r := range c.Routes {
		file.Routes = append(file.Routes, routeEntry(r))
	}
	text, err := yaml.Marshal(file)
	return text, errors.Wrap(err, "encode route configuration")
}

func checkRoutes(file settings.RoutesFile) []Problem {
	if err := routes.Validate(putFromFile(file).Config); err != nil {
		return []Problem{{Detail: oneLine(err)}}
	}
	return nil
}

func noRoutesCheck(settings.RoutesFile) []Problem { return nil }

func noSecrets(settings.RoutesFile) []secretFile { return nil }

func putFromFile(file settings.RoutesFile) routes.Put {
	put := routes.Put{Base: uint64(file.Base), Config: routes.Config{
		Version:  uint64(file.Version),
		Routes:   []routes.Route{},
		Services: []routes.Service{},
		Limits: routes.Limits{
			HeaderBytes:  int64(file.Limits.HeaderBytes),
			BodyBytes:    int64(file.Limits.BodyBytes),
			HeaderMillis: int64(file.Limits.HeaderMs),
			IdleMillis:   int64(file.Limits.IdleMs),
		},
	}}
	for _, s := range file.Services {
		put.Config.Services = append(put.Config.Services, routes.Service{
			Name: s.Name, HealthPath: s.HealthPath, MaxConnections: int64(s.MaxConnections), Keyed: s.Keyed, WarmMillis: int64(s.WarmMs),
			Grants: grantMode(s), WarmupMillis: int64(s.WarmupMs), WarmupPerSecond: s.WarmupPerSecond,
		})
	}
	for _, r := range file.Routes {
		put.Config.Routes = append(put.Config.Routes, routeFromEntry(r))
	}
	return put
}

func routeFromEntry(entry settings.RouteEntry) routes.Route {
	r := routes.Route{
		Name:          entry.Name,
		Host:          entry.Host,
		PathPrefix:    entry.PathPrefix,
		Kind:          routes.Kind(entry.Kind),
		TimeoutMillis: int64(entry.TimeoutMs),
		TargetMillis:  int64(entry.TargetMs),
		Priority:      int64(entry.Priority),
		MaxAttempts:   int64(entry.MaxAttempts),
	}
	if len(entry.AllowedRegions) > 0 {
		r.AllowedRegions = entry.AllowedRegions
	}
	for _, share := range entry.Shares {
		r.Shares = append(r.Shares, routes.Share{Service: share.Service, Weight: int64(share.Weight)})
	}
	return r
}

func routeEntry(r routes.Route) settings.RouteEntry {
	entry := settings.RouteEntry{
		Name:        r.Name,
		Host:        r.Host,
		PathPrefix:  r.PathPrefix,
		Kind:        settings.RouteKind(r.Kind),
		TimeoutMs:   int(r.TimeoutMillis),
		TargetMs:    int(r.TargetMillis),
		Priority:    int(r.Priority),
		MaxAttempts: int(r.MaxAttempts), AllowedRegions: r.AllowedRegions,
	}
	for _, share := range r.Shares {
		entry.Shares = append(entry.Shares, settings.ShareEntry{Service: share.Service, Weight: int(share.Weight)})
	}
	return entry
}

func serviceEntry(s routes.Service) settings.ServiceEntry {
	return settings.ServiceEntry{
		Name: s.Name, HealthPath: s.HealthPath, MaxConnections: int(s.MaxConnections), Keyed: s.Keyed, WarmMs: int(s.WarmMillis),
		GrantsByCall: s.Grants == routes.GrantsByCall, WarmupMs: int(s.WarmupMillis), WarmupPerSecond: s.WarmupPerSecond,
	}
}

func grantMode(s settings.ServiceEntry) routes.GrantMode {
	if s.Keyed && s.GrantsByCall {
		return routes.GrantsByCall
	}
	return routes.GrantsByHeartbeat
}
