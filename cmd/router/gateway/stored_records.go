package gateway

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"vanillalug.example/edition"
	"vanillalug.example/peer"
)

const (
	// storeRecordsInterval is the time between two writes of records. Those of the last one are
	// lost when all routers stop at once.
	storeRecordsInterval = 500 * time.Millisecond
	// maxRecordRows is the number of rows of one write.
	maxRecordRows = 8
)

// storeWriter is the router that writes to the store what outlasts a restart of all: this one,
// or the one with the address.
type storeWriter struct {
	own     bool
	address netip.AddrPort
}

// chooseStoreWriter selects the router that writes.
func (g *Gateway) chooseStoreWriter() storeWriter {
	name, address := g.bestRouter(hashFields("software versions"))
	if name == g.cfg.Name {
		return storeWriter{own: true}
	}
	out := storeWriter{}
	out.address, _ = netip.ParseAddrPort(address)
	return out
}

// writesToStore reports whether this router is the one that writes.
func (g *Gateway) writesToStore() bool {
	writer := g.storeWriter.Load()
	return writer != nil && writer.own
}

// addToBacklog adds a record to those that this router writes to the store, if it does.
func (g *Gateway) addToBacklog(r edition.Record) {
	if g.writesToStore() {
		g.backlog.Add(r, g.clock.Now())
	}
}

// keepRecordsStored writes the records of services with several versions to the store.
func (g *Gateway) keepRecordsStored(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, storeRecordsInterval)
		if g.writesToStore() {
			g.storeBacklog(ctx)
		}
	}
}

// storeBacklog writes the records that wait, of services with several versions.
func (g *Gateway) storeBacklog(ctx context.Context) {
	now := g.clock.Now()
	several := func(service string) bool { return g.softwareVersions.Several(service, now) }
	if rows := g.backlog.Take(several, now); len(rows) > 0 {
		g.storeRecords(ctx, rows)
	}
}

func (g *Gateway) storeRecords(ctx context.Context, rows []edition.BacklogRow) {
	if dropped := len(rows) - maxRecordRows; dropped > 0 {
		g.log.Warn("too many streams begin to store where", "rows-dropped", dropped)
		rows = rows[dropped:]
	}
	values := make(map[int][]byte, len(rows))
	for _, row := range rows {
		message := &peer.Share{}
		for _, r := range row.Records {
			message.Streams = append(message.Streams, recordToProto(r))
		}
		value, err := proto.Marshal(message)
		if err != nil {
			g.log.Error("cannot encode the records of streams", "error", err)
			return
		}
		values[row.Number] = value
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := g.store.WriteStreamRecords(ctx, values); err != nil {
		g.log.Warn("cannot write the records of streams to the store", "error", err)
	}
}

// recalledRecords says whether this router has read the records in the store, which it does once.
type recalledRecords struct {
	mu       sync.Mutex
	done     bool
	failedAt time.Time
}

// recallRecords adds the records in the store to those that this router holds. Requests that
// need them at the same time share one read.
func (g *Gateway) recallRecords(ctx context.Context) {
	s := &g.recalledRecords
	s.mu.Lock()
	defer s.mu.Unlock()
	now := g.clock.Now()
	if s.done || now.Sub(s.failedAt) < readVersionsPause {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readVersionsTimeout)
	defer cancel()
	reader := g.store.ReadStreamRecords()
	if err := readPages(ctx, reader); err != nil {
		s.failedAt = now
		g.log.Warn("cannot read the records of streams in the store", "error", err)
		return
	}
	s.done = true
	n := 0
	for _, row := range reader.Rows().All() {
		var message peer.Share
		if err := proto.Unmarshal(row.Value(), &message); err != nil {
			g.log.Warn("ignored records of streams that can't be decoded", "row", row.Key(), "error", err)
			continue
		}
		for _, r := range message.Streams {
			g.streams.Add(recordFromProto(r), now)
		}
		n += len(message.Streams)
	}
	g.log.Info("records of streams read from the store", "records", n)
}
