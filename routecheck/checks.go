package routecheck

import (
	"maps"
	"net/url"
	"slices"
	"strings"
	"unicode"

	"golang.org/x/net/http/httpguts"

	"github.com/galenalug/galenalug/routes"
)

func (c *checker) checkLimits() {
	entry, l := Entry{Kind: KindLimits}, c.Config.Limits
	if memory := c.Fleet.HostMemoryBytes; memory > 0 {
		if l.BodyBytes > memory {
			c.add(Warning, CodeBodyLimitAboveMemory, entry, "the largest body, %d bytes, is larger than the memory of a host, %d bytes", l.BodyBytes, memory)
		}
		if l.HeaderBytes > memory {
			c.add(Warning, CodeHeaderLimitAboveMemory, entry, "the largest header, %d bytes, is larger than the memory of a host, %d bytes", l.HeaderBytes, memory)
		}
	}
	if l.HeaderMillis > l.IdleMillis {
		c.add(Warning, CodeHeaderTimeoutAboveIdle, entry, "the time for a header, %d ms, is longer than the idle time of a connection, %d ms", l.HeaderMillis, l.IdleMillis)
	}
}

func (c *checker) checkService(s *routes.Service) {
	entry := Entry{KindService, s.Name}
	used, named := c.uses[s.Name]
	switch {
	case !named:
		c.add(Warning, CodeServiceUnused, entry, "no route names the service")
	case !used.weighted:
		c.add(Warning, CodeServiceZeroWeight, entry, "all routes that name the service give it the weight 0")
	}
	switch {
	case s.WarmupPerSecond > 0 && s.WarmupMillis == 0:
		c.add(Warning, CodeWarmupRateWithoutTime, entry, "the service limits the requests to cold servers, but has no warm-up time, so no server is cold")
	case s.WarmupMillis > 0 && s.WarmupPerSecond == 0:
		c.add(Warning, CodeWarmupTimeWithoutRate, entry, "the service has a warm-up time, but does not limit the requests to cold servers")
	}
	if regions, restricted := c.Config.RegionsOfService(s.Name); s.Keyed && restricted && len(regions) == 0 {
		c.add(Warning, CodeNoCommonRegion, entry, "the allowed regions of its routes have none in common, so no server may hold its keys: %s",
			strings.Join(c.restrictedRoutes(s.Name), "; "))
	}
	if used.weighted && c.lacksServers(s.Name) {
		c.add(Warning, CodeServiceWithoutServer, entry, "routes send requests to the service, but it has no server")
	}
	slots := int64(0)
	for _, server := range c.servers[s.Name] {
		slots = max(slots, server.Slots)
	}
	if s.MaxConnections > 0 && s.MaxConnections < slots {
		c.add(Warning, CodeConnectionsBelowSlots, entry, "at most %d connections to a server leave slots unused: its servers have up to %d", s.MaxConnections, slots)
	}
}

// weights returns the sum of the weights by service.
func weights(r *routes.Route) map[string]int64 {
	sums := make(map[string]int64, len(r.Shares))
	for _, s := range r.Shares {
		sums[s.Service] += s.Weight
	}
	return sums
}

// restrictedRoutes lists the routes to a service that do not allow all regions, with the regions that they allow.
func (c *checker) restrictedRoutes(service string) []string {
	var list []string
	for i := range c.Config.Routes {
		r := &c.Config.Routes[i]
		if _, present := weights(r)[service]; present && len(r.AllowedRegions) > 0 {
			list = append(list, quoteIfNeeded(r.Name)+" allows "+regionList(r))
		}
	}
	slices.Sort(list)
	return list
}

func regionList(r *routes.Route) string { return sortedList(r.AllowedRegions) }

// sortedList formats names as a list in YAML.
func sortedList(names []string) string {
	list := make([]string, 0, len(names))
	for _, name := range names {
		list = append(list, quoteIfNeeded(name))
	}
	slices.Sort(list)
	return "[" + strings.Join(list, ", ") + "]"
}

func (c *checker) checkRoute(r *routes.Route) {
	entry := Entry{KindRoute, r.Name}
	reachable := c.checkMatch(entry, r)
	if general := generalRoute(c.table, r); reachable && general != nil && sameTreatment(r, general) {
		c.add(Hint, CodeRepeatsGeneralRoute, entry, "the route only repeats route %q with the prefix %q", general.Name, general.PathPrefix)
	}
	sums := weights(r)
	total := int64(0)
	for _, weight := range sums {
		total += weight
	}
	for _, s := range r.Shares {
		if s.Weight == 0 && total > 0 { // a total of 0 is an error
			c.add(Warning, CodeZeroWeight, entry, "the share of service %q has the weight 0 and gets no requests", s.Service)
		}
	}
	if r.TargetMillis > r.TimeoutMillis {
		c.add(Warning, CodeTargetAboveTimeout, entry, "the latency objective, %d ms, is above the timeout, %d ms", r.TargetMillis, r.TimeoutMillis)
	}
	if wait := c.Fleet.ClientWaitMillis; wait > 0 && r.TimeoutMillis > wait {
		c.add(Warning, CodeTimeoutAboveClientWait, entry, "the timeout, %d ms, is longer than clients wait, %d ms", r.TimeoutMillis, wait)
	}
	c.checkServers(entry, r)
}

// checkMatch reports whether requests can have the host and path of the route.
func (c *checker) checkMatch(entry Entry, r *routes.Route) bool {
	reachable := true
	if reason := unreachablePrefix(r.PathPrefix); reason != "" {
		c.add(Warning, CodeUnreachablePrefix, entry, "clients do not normally send the path prefix %q: %s", r.PathPrefix, reason)
		reachable = false
	}
	if reason := unreachableHost(r.Host); reason != "" {
		c.add(Warning, CodeUnreachableHost, entry, "no request has the host %q: %s", r.Host, reason)
		reachable = false
	}
	return reachable
}

// unreachablePrefix returns why clients do not normally send a path with the prefix, or "". Gateways compare paths as clients send them:
// percent-encoded, and without "." and ".." segments (RFC 3986, sections 2.1 and 5.2.4).
func unreachablePrefix(prefix string) string {
	switch {
	case strings.Contains(prefix, "?"):
		return "a question mark ends the path"
	case strings.Contains(prefix, "#"):
		return "clients do not send a number sign and what follows it"
	case strings.ContainsFunc(prefix, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }):
		return "a path contains no blanks"
	case strings.Contains(prefix, "//"):
		return "it has an empty segment"
	case strings.ContainsFunc(prefix, func(r rune) bool { return r > unicode.MaxASCII }):
		return "clients percent-encode characters outside ASCII"
	}
	if _, err := url.PathUnescape(prefix); err != nil {
		return "it has a percent sign without two hexadecimal digits"
	}
	for segment := range strings.SplitSeq(prefix, "/") {
		if segment == "." || segment == ".." {
			return "clients resolve the segment " + segment + " before they send a request"
		}
	}
	return ""
}

// unreachableHost returns why no request has the host, or "". Gateways compare hosts without the port.
func unreachableHost(host string) string {
	switch {
	case !httpguts.ValidHostHeader(host):
		return "it has a blank or another character that hosts do not have"
	case strings.Contains(host, ":") && !strings.HasSuffix(host, "]"):
		return "requests are matched without the port, and IPv6 addresses with brackets"
	}
	return ""
}

// generalRoute returns the route that requests of r would use without r, or nil.
func generalRoute(table *routes.Table, r *routes.Route) *routes.Route {
	parent, found := strings.CutSuffix(r.PathPrefix, "/")
	if !found || parent == "" {
		return nil
	}
	return table.Match(r.Host, parent)
}

// sameTreatment reports whether two routes treat requests alike.
func sameTreatment(a, b *routes.Route) bool {
	return a.Kind == b.Kind && a.TimeoutMillis == b.TimeoutMillis && a.TargetMillis == b.TargetMillis &&
		a.MaxAttempts == b.MaxAttempts && a.Priority == b.Priority && regionList(a) == regionList(b) &&
		maps.Equal(proportions(a), proportions(b))
}

// proportions returns the weights of a route's services, reduced to the lowest terms.
func proportions(r *routes.Route) map[string]int64 {
	sums := weights(r)
	divisor := int64(0)
	for _, weight := range sums {
		for a, b := divisor, weight; ; a, b = b, a%b {
			if b == 0 {
				divisor = a
				break
			}
		}
	}
	for service := range sums {
		if divisor != 0 {
			sums[service] /= divisor
		}
	}
	return sums
}

// checkServers compares a route with the servers of its services.
func (c *checker) checkServers(entry Entry, r *routes.Route) {
	eligible := map[string]int64{} // number of servers that may get requests of the route, by service
	weighted := weightedServices(r)
	for _, service := range weighted {
		inRegion := map[string]int64{}
		for _, s := range c.servers[service] {
			if r.AllowsRegion(s.Region) {
				eligible[service]++
				inRegion[s.Region]++
			}
		}
		c.checkRegions(entry, r, service, inRegion)
	}
	if r.MaxAttempts <= 1 || len(weighted) == 0 {
		return
	}
	oneEach := !slices.ContainsFunc(weighted, func(service string) bool { return eligible[service] != 1 })
	if oneEach {
		c.add(Warning, CodeAttemptsWithOneServer, entry, "the route has %d attempts, but only one server of each of its services may get its requests", r.MaxAttempts)
		return
	}
	for _, service := range weighted {
		if count := eligible[service]; count > 0 && r.MaxAttempts > count {
			c.add(Warning, CodeAttemptsAboveServers, entry, "the route has %d attempts, more than the servers of service %q that may get its requests: %d", r.MaxAttempts, service, count)
		}
	}
}

func (c *checker) checkRegions(entry Entry, r *routes.Route, service string, inRegion map[string]int64) {
	var empty []string
	for _, region := range r.AllowedRegions {
		if inRegion[region] == 0 {
			empty = append(empty, region)
		}
	}
	if len(empty) == 0 || len(c.servers[service]) == 0 {
		return
	}
	effect := ""
	if len(inRegion) == 0 {
		effect = "; no server may get its requests"
	}
	c.add(Warning, CodeRegionWithoutServer, entry, "service %q has no server in the allowed regions %s%s", service, sortedList(empty), effect)
}
