package capacity

// Size is a fleet and what it serves.
type Size struct {
	Servers           float64 // app servers
	Zones             float64
	Regions           float64
	Callers           float64
	Services          float64
	RequestsPerSecond float64 // of the fleet at peak
	Routes            float64
	Tenants           float64
	ConfigChanges     float64 // a day
	Failures          float64 // machines a day
	Restarts          float64 // servers restarted or replaced a day
	ControlNodes      float64
}

// Target is the size that the design is made for.
func Target() Size {
	return Size{Servers: 740, Zones: 5, Regions: 2, Callers: 7700, Services: 430, RequestsPerSecond: 80_000, Routes: 4500,
		Tenants: 42_000, ConfigChanges: 1800, Failures: 17, Restarts: 630, ControlNodes: 5}
}

// Times is the fleet grown by a factor in everything but its zones, regions and control nodes.
func (s Size) Times(factor float64) Size {
	s.Servers *= factor
	s.Callers *= factor
	s.Services *= factor
	s.RequestsPerSecond *= factor
	s.Routes *= factor
	s.Tenants *= factor
	s.ConfigChanges *= factor
	s.Failures *= factor
	s.Restarts *= factor
	return s
}

// RequestsPerServer is the requests a second that one server gets at peak.
func (s Size) RequestsPerServer() float64 { return s.RequestsPerSecond / s.Servers }

// Count is a number that follows from the size of the fleet, with the expression that readers see.
type Count struct {
	Expression string
	Of         func(Size) float64
}

// The counts that measurements name as their SizeUnit.
var countsByUnit = map[string]Count{
	"servers":     {"servers", func(s Size) float64 { return s.Servers }},
	"tenants":     {"tenants", func(s Size) float64 { return s.Tenants }},
	"routes":      {"routes", func(s Size) float64 { return s.Routes }},
	"classes":     {"routes", func(s Size) float64 { return s.Routes }},
	"callers":     {"callers", func(s Size) float64 { return s.Callers }},
	"connections": {"callers, each connected to the server", func(s Size) float64 { return s.Callers }},
	"services":    {"services", func(s Size) float64 { return s.Services }},
	"requests/s":  {"requests/s a server", Size.RequestsPerServer},
}
