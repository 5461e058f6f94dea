// Package scenario reads the lab's scenario files and plans their runs: the machines, the clients and the timeline of faults.
// It uses no sockets and no clock.
package scenario

// Scenario describes a run of the lab. docs/lab.md documents its keys.
type Scenario struct {
	Name        string           `yaml:"name"`
	Description string           `yaml:"about"`
	Duration    Duration         `yaml:"duration"`
	Warmup      Duration         `yaml:"warmup"`
	Seed        uint64           `yaml:"seed"`
	Zone        string           `yaml:"zone"`
	Classes     []Class          `yaml:"classes"`
	Load        Traffic          `yaml:"load"`
	Clients     ClientBehavior   `yaml:"clients"`
	Frontend    FrontendBalancer `yaml:"front"`
	Tiers       []Tier           `yaml:"tiers"`
	Discovery   Discovery        `yaml:"discovery"`
	Sidecar     Sidecar          `yaml:"sidecar"`
	Objective   Objective        `yaml:"goal"`
	Faults      []Fault          `yaml:"troubles,omitempty"`
}

// Class is a class of requests.
type Class struct {
	Name          string   `yaml:"name"`
	Share         float64  `yaml:"share"`
	Work          Duration `yaml:"work"`
	WorkCV        float64  `yaml:"spread"`
	Utility       float64  `yaml:"worth"`
	LatencyTarget Duration `yaml:"aim"`
	TotalTimeout  Duration `yaml:"give_up"`
	Effect        string   `yaml:"effect"`
	AttemptNoise  float64  `yaml:"attempt_noise"`
}

// Traffic sets the arrival rate of requests. Utilisation is that of the tier with the least capacity.
type Traffic struct {
	Utilisation float64 `yaml:"utilisation"`
	Rate        float64 `yaml:"rate"`
	Arrivals    string  `yaml:"arrivals"`
	Shape       []Point `yaml:"shape,omitempty"`
}

// Point is a point of a piecewise linear curve.
type Point struct {
	At     Duration `yaml:"at"`
	Factor float64  `yaml:"factor"`
}

// ClientBehavior describes how clients retry and when they disconnect.
type ClientBehavior struct {
	MaxRetries          int      `yaml:"retries"`
	AttemptTimeoutShare float64  `yaml:"try_share"`
	Backoff             Duration `yaml:"backoff"`
	HonorRetryAfter     float64  `yaml:"honour"`
	LeaveShare          float64  `yaml:"leave"`
}

// FrontendBalancer is the layer that distributes clients over the sidecars of the first tier.
type FrontendBalancer struct {
	DetectionDelay Duration `yaml:"notice"`
	Skew           float64  `yaml:"skew"`
}

// Tier is a tier of the service.
type Tier struct {
	Name            string          `yaml:"name"`
	Instances       int             `yaml:"instances"`
	Sidecars        int             `yaml:"sidecars"`
	WorkShare       float64         `yaml:"work"`
	CallsPerRequest float64         `yaml:"calls"`
	Kinds           []Kind          `yaml:"kinds"`
	Slots           int             `yaml:"slots"`
	QueueLimit      int             `yaml:"queue"`
	ThrashFactor    float64         `yaml:"thrash"`
	ThrashThreshold float64         `yaml:"thrash_at"`
	ErrorShare      float64         `yaml:"errors"`
	CorruptShare    float64         `yaml:"spoilt"`
	ColdStart       ColdStart       `yaml:"cold"`
	Overload        Overload        `yaml:"choke"`
	Connections     ConnectionCosts `yaml:"connections"`
	LoadReports     LoadReports     `yaml:"reports"`
	RestartDelay    Duration        `yaml:"restart"`
}

// Kind is a kind of machine. The speed of each is drawn from the range.
type Kind struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
	Cores int     `yaml:"cores"`
	Speed Range   `yaml:"speed"`
}

// ColdStart describes the reduced capacity of an instance after its start.
type ColdStart struct {
	InitialShare float64  `yaml:"share"`
	Duration     Duration `yaml:"time"`
	LoadFactor   float64  `yaml:"multiple"`
	Window       Duration `yaml:"window"`
}

// Overload describes when an overloaded instance slows down, and when it recovers.
type Overload struct {
	QueuedPerCore float64  `yaml:"waiting"`
	TriggerAfter  Duration `yaml:"over"`
	Slowdown      float64  `yaml:"slower"`
	RecoverBelow  float64  `yaml:"below"`
	RecoverAfter  Duration `yaml:"rest"`
	MaxDuration   Duration `yaml:"most"`
}

// ConnectionCosts is the cost of connections to an instance.
type ConnectionCosts struct {
	HandshakeWork     Duration `yaml:"cost"`
	FirstRequestDelay Duration `yaml:"delay"`
	TableSizePerCore  int      `yaml:"cap"`
	FullTableLoss     float64  `yaml:"tax"`
	IdleTimeout       Duration `yaml:"idle"`
}

// LoadReports describes content and delay of the instances' load reports.
type LoadReports struct {
	Fields []string `yaml:"fields"`
	Period Duration `yaml:"period"`
	Delay  Duration `yaml:"delay"`
	Noise  float64  `yaml:"noise"`
}

// Discovery sets the delays and the capacity of discovery.
type Discovery struct {
	DetectionDelay       Duration `yaml:"notice"`
	SilentDetectionDelay Duration `yaml:"silent_notice"`
	AddDelay             Duration `yaml:"add"`
	PublishPeriod        Duration `yaml:"period"`
	DelayJitter          Duration `yaml:"spread"`
	CallsPerSecond       float64  `yaml:"capacity"`
	Timeout              Duration `yaml:"timeout"`
	HeartbeatPeriod      Duration `yaml:"beat"`
	RejectWhenFull       bool     `yaml:"refuse_full"`
	// ServeTimedOut has discovery spend capacity on calls that have already timed out while they were queued.
	ServeTimedOut bool `yaml:"works_off_failed"`
}

// Sidecar sets the resource limits and the configuration of each sidecar.
type Sidecar struct {
	Cores    float64 `yaml:"cores"`
	MemoryMB int     `yaml:"memory_mb"`
	Sockets  int     `yaml:"sockets"`

	ConfigFormat  string  `yaml:"form"`
	Chain         bool    `yaml:"chain"`
	Origin        bool    `yaml:"origin"`
	RetryDeclined bool    `yaml:"repeat_declined"`
	RetryShare    float64 `yaml:"retry_share"`
	RetryBurst    float64 `yaml:"retry_burst"`
	MaxAttempts   int     `yaml:"attempts"`
	Standalone    bool    `yaml:"alone"`
}

// Formats of a sidecar's configuration: the platform's, or the YAML file of other installations.
const (
	FormatPlatform = "platform"
	FormatPools    = "pools"
)

// Objective sets how the service of a run is measured.
type Objective struct {
	WholeRun    float64  `yaml:"whole"`
	WorstWindow float64  `yaml:"worst_window"`
	WorstClass  float64  `yaml:"worst_class"`
	Window      Duration `yaml:"window"`
	LateFailure float64  `yaml:"late_fail"`
	Waste       float64  `yaml:"waste"`
	Connection  float64  `yaml:"connection"`
	Probes      float64  `yaml:"probe"`
	UtilityPer  string   `yaml:"worth_by"`
}

// Fault is a fault or another event that is injected into the run. faultKeys lists the keys of each kind.
type Fault struct {
	Kind       string   `yaml:"kind"`
	At         Duration `yaml:"at"`
	Duration   Duration `yaml:"for"`
	Tier       string   `yaml:"tier"`
	Share      float64  `yaml:"part"`
	Count      int      `yaml:"count"`
	Magnitude  float64  `yaml:"size"`
	Interval   Duration `yaml:"every"`
	Span       Duration `yaml:"span"`
	BatchShare float64  `yaml:"batch"`
	DrainTime  Duration `yaml:"drain"`

	Path             string  `yaml:"path"`
	Mode             string  `yaml:"way"`
	ResetConnections bool    `yaml:"reset"`
	TargetShare      float64 `yaml:"targets"`
	DiscardList      bool    `yaml:"forget"`
	SignalSeries     bool    `yaml:"series"` // send several signals in a row
}
