// Package settings reads the INI settings of a router.
package settings

import (
	"fmt"
	"os"
	"time"

	"vanillalug.example/form"
)

// The defaults and limits of the settings.
const (
	defaultMaxBody      = 4 << 20
	maxMaxBody          = 64 << 20
	defaultMaxHeader    = 32 << 10
	maxMaxHeader        = 1 << 20
	defaultMaxConns     = 10000
	maxMaxConns         = 1000000
	defaultMaxOpen      = 8192
	defaultFirstToken   = 60 * time.Second
	defaultEngineIdle   = 5 * time.Second
	defaultPeerIdle     = 6 * time.Second
	defaultBalancerTime = 5 * time.Second
	defaultDrainLimit   = 30 * time.Minute
	maxDuration         = 24 * time.Hour
)

// Settings are the settings of one router.
type Settings struct {
	name            string
	place           string
	logLevel        string
	logJSON         bool
	callers         string
	peers           string
	operators       string
	platform        string
	platformKey     string
	peerKey         string
	operatorKey     string
	maxBody         int
	maxHeader       int
	maxConns        int
	maxOpen         int
	firstToken      time.Duration
	engineIdle      time.Duration
	peerIdle        time.Duration
	balancerTime    time.Duration
	drainLimit      time.Duration
	headInterval    time.Duration
	vmsInterval     time.Duration
	reportInterval  time.Duration
	rememberedChats int
}

// Load reads the settings from a file. Every fault is reported together, as a
// *form.FaultsError.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("Load: %w", err)
	}
	return Read(file, text)
}

// Read checks the text of a settings file.
func Read(file string, text []byte) (*Settings, error) {
	in, err := form.Read(file, text)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	s.readRouter(in.Single("router"))
	s.readAddresses(in)
	s.readLimits(in.Single("limits"))
	s.readTimes(in.Single("times"))
	if err := in.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) readRouter(in *form.Section) {
	s.name = in.Required("name")
	s.place = in.Required("place")
	s.logLevel = in.Choice("log-level", "info", "trace", "debug", "info", "warn", "error")
	s.logJSON = in.Bool("log-json", false)
}

func (s *Settings) readAddresses(in *form.File) {
	listen := in.Single("listen")
	s.callers = listen.Address("callers")
	s.peers = listen.Address("peers")
	s.operators = listen.Address("operators")
	platform := in.Single("platform")
	s.platform = platform.Address("address")
	s.platformKey = platform.Required("key")
	keys := in.Single("keys")
	s.peerKey = keys.Required("peers")
	s.operatorKey = keys.Required("operators")
}

func (s *Settings) readLimits(in *form.Section) {
	s.maxBody = in.Int("body-bytes", defaultMaxBody, 1<<10, maxMaxBody)
	s.maxHeader = in.Int("header-bytes", defaultMaxHeader, 1<<10, maxMaxHeader)
	s.maxConns = in.Int("connections", defaultMaxConns, 1, maxMaxConns)
	s.maxOpen = in.Int("open-requests", defaultMaxOpen, 1, maxMaxConns)
	s.rememberedChats = in.Int("remembered-chats", 1<<17, 1<<8, 1<<24)
}

func (s *Settings) readTimes(in *form.Section) {
	s.firstToken = in.Duration("first-token", defaultFirstToken, 100*time.Millisecond, maxDuration)
	s.engineIdle = in.Duration("engine-idle", defaultEngineIdle, 100*time.Millisecond, maxDuration)
	s.peerIdle = in.Duration("peer-idle", defaultPeerIdle, 3*time.Second, maxDuration)
	s.balancerTime = in.Duration("balancer", defaultBalancerTime, 0, maxDuration)
	s.drainLimit = in.Duration("drain-limit", defaultDrainLimit, 0, maxDuration)
	s.headInterval = in.Duration("head-interval", 2500*time.Millisecond, 100*time.Millisecond, time.Minute)
	s.vmsInterval = in.Duration("vms-interval", 5*time.Second, 100*time.Millisecond, time.Minute)
	s.reportInterval = in.Duration("report-interval", 500*time.Millisecond, 50*time.Millisecond, 10*time.Second)
}

// Name returns the unique name of the router.
func (s *Settings) Name() string { return s.name }

// Place returns the place (failure domain) of the router.
func (s *Settings) Place() string { return s.place }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogJSON reports whether logs are written as JSON.
func (s *Settings) LogJSON() bool { return s.logJSON }

// Callers returns the address of the caller listener.
func (s *Settings) Callers() string { return s.callers }

// Peers returns the address of the peer listener.
func (s *Settings) Peers() string { return s.peers }

// Operators returns the address of the operator listener.
func (s *Settings) Operators() string { return s.operators }

// Platform returns the address of the platform.
func (s *Settings) Platform() string { return s.platform }

// PlatformKey returns the key for the platform.
func (s *Settings) PlatformKey() string { return s.platformKey }

// PeerKey returns the key that routers present to each other.
func (s *Settings) PeerKey() string { return s.peerKey }

// OperatorKey returns the key that operators present.
func (s *Settings) OperatorKey() string { return s.operatorKey }

// MaxBodyBytes returns the limit of a request body in bytes.
func (s *Settings) MaxBodyBytes() int { return s.maxBody }

// MaxHeaderBytes returns the limit of a request header in bytes.
func (s *Settings) MaxHeaderBytes() int { return s.maxHeader }

// MaxConns returns the limit of open connections of each listener.
func (s *Settings) MaxConns() int { return s.maxConns }

// MaxOpenRequests returns the limit of open caller requests.
func (s *Settings) MaxOpenRequests() int { return s.maxOpen }

// RememberedChats returns how many chats are remembered for one engine.
func (s *Settings) RememberedChats() int { return s.rememberedChats }

// FirstTokenTimeout returns how long an engine may take before its first event.
func (s *Settings) FirstTokenTimeout() time.Duration { return s.firstToken }

// EngineIdleTimeout returns the idle bound of engine streams.
func (s *Settings) EngineIdleTimeout() time.Duration { return s.engineIdle }

// PeerIdleTimeout returns the idle bound of relayed streams.
func (s *Settings) PeerIdleTimeout() time.Duration { return s.peerIdle }

// BalancerDelay returns how long the platform's balancer needs to see that the
// router is not ready.
func (s *Settings) BalancerDelay() time.Duration { return s.balancerTime }

// DrainTimeout returns how long a router that stops waits for its requests.
func (s *Settings) DrainTimeout() time.Duration { return s.drainLimit }

// HeadInterval returns the time between two reads of the head row.
func (s *Settings) HeadInterval() time.Duration { return s.headInterval }

// VMsInterval returns the time between two reads of the list of VMs.
func (s *Settings) VMsInterval() time.Duration { return s.vmsInterval }

// ReportInterval returns the time between two reports of a target.
func (s *Settings) ReportInterval() time.Duration { return s.reportInterval }
