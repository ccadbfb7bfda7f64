package logbook

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"vanillalug.example/defect"
	"vanillalug.example/peer"
)

// keyOf returns the key of the row of a subject.
func keyOf(s defect.Subject) string {
	key, wholeRequest := subjectToProto(s)
	if wholeRequest {
		return fmt.Sprintf("request-%016x", key)
	}
	return fmt.Sprintf("part-%016x", key)
}

// encodeRow returns the row of a report as of a time of the store's clock.
func encodeRow(r defect.Report, storeMillis int64) ([]byte, error) {
	return proto.Marshal(&peer.StoredDefect{Report: reportToProto(r), WrittenMs: storeMillis})
}

// RowError is returned for a row that no router wrote.
type RowError struct{ key string }

// Error implements error.
func (e *RowError) Error() string {
	return fmt.Sprintf("row %q has no evidence about its subject", e.key)
}

// decodeRow returns the report of a row with the ages that it has at a time of the store's clock.
func decodeRow(key string, value []byte, storeMillis int64) (defect.Report, error) {
	var row peer.StoredDefect
	if err := proto.Unmarshal(value, &row); err != nil {
		return defect.Report{}, fmt.Errorf("decodeRow: %w", err)
	}
	if row.Report == nil {
		return defect.Report{}, &RowError{key: key}
	}
	out := reportFromProto(row.Report)
	if keyOf(out.Subject) != key {
		return defect.Report{}, &RowError{key: key}
	}
	elapsed := time.Duration(max(storeMillis-row.WrittenMs, 0)) * time.Millisecond
	out.ClearedAge = older(out.ClearedAge, elapsed)
	out.CompletedAge = older(out.CompletedAge, elapsed)
	for i := range out.Crashes {
		out.Crashes[i].Age += elapsed
		out.Crashes[i].SentAge += elapsed
	}
	return out, nil
}

// older returns an age after a time; a negative one is unknown and stays so.
func older(age, elapsed time.Duration) time.Duration {
	if age < 0 {
		return age
	}
	return age + elapsed
}
