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
	defaultMaxBodyBytes      = 4 << 20
	maxMaxBodyBytes          = 64 << 20
	defaultMaxHeaderBytes    = 32 << 10
	maxMaxHeaderBytes        = 1 << 20
	defaultMaxConns          = 10000
	defaultOwnMemoryMB       = 1024
	maxMaxConns              = 1000000
	defaultMaxOpenRequests   = 8192
	defaultFirstTokenTimeout = 60 * time.Second
	defaultEngineIdleTimeout = 5 * time.Second
	defaultPeerIdleTimeout   = 6 * time.Second
	defaultBalancerDelay     = 5 * time.Second
	defaultDrainTimeout      = 30 * time.Minute
	maxDuration              = 24 * time.Hour
)

// Settings are the settings of one router.
type Settings struct {
	name              string
	place             string
	logLevel          string
	logJSON           bool
	callers           string
	peers             string
	operators         string
	platform          string
	platformKey       string
	peerKey           string
	operatorKey       string
	maxBodyBytes      int
	maxHeaderBytes    int
	maxConns          int
	maxOpenRequests   int
	firstTokenTimeout time.Duration
	engineIdleTimeout time.Duration
	peerIdleTimeout   time.Duration
	balancerDelay     time.Duration
	drainTimeout      time.Duration
	headInterval      time.Duration
	vmsInterval       time.Duration
	reportInterval    time.Duration
	rememberedChats   int
	memoryMB          int
	intake            Intake
}

// Load reads the settings from a file. All errors are reported together, as a
// *form.InvalidFileError.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("Load: %w", err)
	}
	return Read(file, text)
}

// Read parses and checks the text of a settings file.
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
	s.memoryMB = in.Int("memory-mb", defaultOwnMemoryMB, 1, maxMemoryMB)
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
	s.maxBodyBytes = in.Int("body-bytes", defaultMaxBodyBytes, 1<<10, maxMaxBodyBytes)
	s.maxHeaderBytes = in.Int("header-bytes", defaultMaxHeaderBytes, 1<<10, maxMaxHeaderBytes)
	s.maxConns = in.Int("connections", defaultMaxConns, 1, maxMaxConns)
	s.maxOpenRequests = in.Int("open-requests", defaultMaxOpenRequests, 1, maxMaxConns)
	s.intake = readIntake(in, s.memoryMB)
	s.rememberedChats = in.Int("remembered-chats", 1<<17, 1<<8, 1<<24)
}

func (s *Settings) readTimes(in *form.Section) {
	s.firstTokenTimeout = in.Duration("first-token", defaultFirstTokenTimeout, 100*time.Millisecond, maxDuration)
	s.engineIdleTimeout = in.Duration("engine-idle", defaultEngineIdleTimeout, 100*time.Millisecond, maxDuration)
	s.peerIdleTimeout = in.Duration("peer-idle", defaultPeerIdleTimeout, 3*time.Second, maxDuration)
	s.balancerDelay = in.Duration("balancer", defaultBalancerDelay, 0, maxDuration)
	s.drainTimeout = in.Duration("drain-limit", defaultDrainTimeout, 0, maxDuration)
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

// Platform returns the address of the platform's services.
func (s *Settings) Platform() string { return s.platform }

// PlatformKey returns the key for the platform.
func (s *Settings) PlatformKey() string { return s.platformKey }

// PeerKey returns the key that routers present to each other.
func (s *Settings) PeerKey() string { return s.peerKey }

// OperatorKey returns the key that operators present.
func (s *Settings) OperatorKey() string { return s.operatorKey }

// MaxBodyBytes returns the limit of a request body in bytes.
func (s *Settings) MaxBodyBytes() int { return s.maxBodyBytes }

// MaxHeaderBytes returns the limit of a request header in bytes.
func (s *Settings) MaxHeaderBytes() int { return s.maxHeaderBytes }

// MaxConns returns the limit of open connections of each listener.
func (s *Settings) MaxConns() int { return s.maxConns }

// MaxOpenRequests returns the limit of open caller requests.
func (s *Settings) MaxOpenRequests() int { return s.maxOpenRequests }

// MemoryMB returns the memory that the process may use, in MiB.
func (s *Settings) MemoryMB() int { return s.memoryMB }

// Intake returns the limits of what is held for clients.
func (s *Settings) Intake() Intake { return s.intake }

// CallerConns returns how many connections of callers may be open, in a process with that many
// descriptors; factor is that of the limit that closes connections without a response.
func (s *Settings) CallerConns(descriptors, factor int) int {
	return min(factor*s.maxConns, s.intake.maxConns(0, descriptors, callerDescriptors))
}

// PeerConns returns how many connections of other routers may be open.
func (s *Settings) PeerConns(descriptors int) int {
	return s.intake.maxConns(0, descriptors, peerDescriptors)
}

// OperatorConns returns how many connections of operators may be open.
func (s *Settings) OperatorConns(descriptors int) int {
	return s.intake.maxConns(0, descriptors, operatorDescriptors)
}

// RememberedChats returns the capacity of the cache index of one engine, in
// chats.
func (s *Settings) RememberedChats() int { return s.rememberedChats }

// FirstTokenTimeout returns how long an engine may take to send its first byte.
func (s *Settings) FirstTokenTimeout() time.Duration { return s.firstTokenTimeout }

// EngineIdleTimeout returns the idle timeout of engine streams.
func (s *Settings) EngineIdleTimeout() time.Duration { return s.engineIdleTimeout }

// PeerIdleTimeout returns the idle timeout of relayed streams.
func (s *Settings) PeerIdleTimeout() time.Duration { return s.peerIdleTimeout }

// BalancerDelay returns how long the platform's balancer takes to detect that
// the router is not ready.
func (s *Settings) BalancerDelay() time.Duration { return s.balancerDelay }

// DrainTimeout returns how long a draining router waits for its open
// requests.
func (s *Settings) DrainTimeout() time.Duration { return s.drainTimeout }

// HeadInterval returns the time between two reads of the row with the current
// version of the fleet document.
func (s *Settings) HeadInterval() time.Duration { return s.headInterval }

// VMsInterval returns the time between two reads of the list of VMs.
func (s *Settings) VMsInterval() time.Duration { return s.vmsInterval }

// ReportInterval returns the time between two requests for a target's load
// report.
func (s *Settings) ReportInterval() time.Duration { return s.reportInterval }
