package form

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readAll asks for one key of each type.
func readAll(text string) error {
	f, err := Read("test.ini", []byte(text))
	if err != nil {
		return err
	}
	s := f.Single("one")
	s.Required("name")
	s.Int("whole", 5, 1, 10)
	s.Float("number", 0.5, 0, 1)
	s.Duration("time", time.Second, time.Millisecond, time.Minute)
	s.Bool("flag", false)
	s.Choice("choice", "a", "a", "b")
	if s.Has("address") {
		s.Address("address")
	}
	return f.Err()
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"good":            {"[one]\nname = x\nwhole = 3\nflag = yes\naddress = 127.0.0.1:80\n", ""},
		"missing":         {"[one]\n", "test.ini: [one] name: is required"},
		"section missing": {"", "test.ini: [one] name: is required"},
		"not whole":       {"[one]\nname = x\nwhole = 3.5\n", `test.ini: [one] whole: "3.5": want a whole number from 1 to 10`},
		"out of range":    {"[one]\nname = x\nwhole = 11\n", `test.ini: [one] whole: "11": want a whole number from 1 to 10`},
		"not a number":    {"[one]\nname = x\nnumber = NaN\n", `test.ini: [one] number: "NaN": want a number from 0 to 1`},
		"bad time":        {"[one]\nname = x\ntime = 5\n", `test.ini: [one] time: "5": want a duration from 1ms to 1m0s`},
		"bad flag":        {"[one]\nname = x\nflag = true\n", `test.ini: [one] flag: "true": want yes or no`},
		"bad choice":      {"[one]\nname = x\nchoice = c\n", `test.ini: [one] choice: "c": want one of a, b`},
		"bad address":     {"[one]\nname = x\naddress = localhost:80\n", `test.ini: [one] address: "localhost:80": want an IP number and a port, such as 127.0.0.1:8080`},
		"unknown key":     {"[one]\nname = x\nnam = y\n", "test.ini: [one] nam: is not a known key"},
		"unknown section": {"[one]\nname = x\n[two]\n", "test.ini: [two]: is not a known section"},
		"key twice":       {"[one]\nname = x\nname = y\n", "test.ini: [one] name: stands twice"},
		"section twice":   {"[one]\nname = x\n[one]\nname = y\n", "test.ini: [one]: stands twice"},
		"key outside":     {"a = b\n[one]\nname = x\n", "test.ini: [] a: stands before the first section"},
		"all together":    {"[one]\nwhole = x\nflag = x\n", "test.ini: [one] name: is required\n" + `test.ini: [one] whole: "x": want a whole number from 1 to 10` + "\n" + `test.ini: [one] flag: "x": want yes or no`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := readAll(tt.text)
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			var faults *InvalidFileError
			require.True(t, errors.As(err, &faults), "%v", err)
			require.Equal(t, tt.want, err.Error())
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add("[one]\nname = x\n")
	f.Add("[one\n")
	f.Fuzz(func(_ *testing.T, text string) { _ = readAll(text) })
}
