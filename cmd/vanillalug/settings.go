package main

import (
	"errors"
	"os"
	"strings"

	"vanillalug.example/form"
)

// operatorSettings has the operator's name and the addresses and keys of the
// platform and the routers.
type operatorSettings struct {
	operator    string
	platform    string
	platformKey string
	routers     []string
	routerKey   string
}

var errNoSettings = errors.New("no settings: give -settings FILE or set VANILLALUG_SETTINGS")

func loadSettings(file string) (*operatorSettings, error) {
	if file == "" {
		return nil, errNoSettings
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	in, err := form.Read(file, text)
	if err != nil {
		return nil, err
	}
	s := &operatorSettings{}
	operator := in.Single("operator")
	s.operator = operator.Required("name")
	p := in.Single("platform")
	s.platform = p.Address("address")
	s.platformKey = p.Required("key")
	r := in.Single("routers")
	s.routers = r.List("addresses")
	s.routerKey = r.Required("key")
	if len(s.routers) == 0 {
		r.AddError("addresses", "is required: the operator listeners of one router or more, separated by commas")
	}
	for _, a := range s.routers {
		if !strings.Contains(a, ":") {
			r.AddError("addresses", a+": want an IP number and a port")
		}
	}
	return s, in.Err()
}
