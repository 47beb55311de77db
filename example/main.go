// Command example plays the searchers and the list for one mixer, so that a lookup can be sent by hand.
// See README.md beside it.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"nettlefold/example/toy"
)

func main() {
	path := flag.String("config", "example/config.json", "the mixer's configuration, which says where searchers and list are")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

// run starts a searcher for each that the configuration knows, and the list.
func run(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var config struct {
		Discovery string
		Known     toy.Message
	}
	if err := json.Unmarshal(raw, &config); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, m := range config.Known.Endpoints {
		s := toy.Searcher{Name: m.Name, Zone: m.Zone, Address: m.Address, Cell: m.Cell, Took: 30 * time.Millisecond}
		if err := s.Start(); err != nil {
			return err
		}
	}
	list := &toy.List{}
	list.Say(config.Known)
	fmt.Println("searchers:", len(config.Known.Endpoints), "list:", config.Discovery)
	return http.ListenAndServe(config.Discovery, list)
}
