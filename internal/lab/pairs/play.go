package pairs

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// Plan is what is to be played.
type Plan struct {
	Bench    string   // path of the operators' bench
	Sites    []string // paths of site files
	Days     []string // CalmDay, or days of the sites
	Seeds    []int
	Variants []Variant // without the baseline, which is always played
	Small    bool      // days at their small size
	Charged  bool      // processor time is charged
	Jobs     int       // plays at a time
	Work     string    // folder for sources and reports; what is there already is not played again
	Why      string    // for the bench's journal
}

// Play is one day of one variant.
type Play struct {
	Variant Variant
	Site    string // its name
	Day     string
	Seed    int
	Result  Result
}

// Result is what the bench reports of a play, as far as it is used here.
type Result struct {
	Worth float64         `json:"G"`
	Fault *string         `json:"fault"`
	Rules json.RawMessage `json:"breaks"`
}

// Run builds all variants and plays all days. What fails is told by the error, beside what was played.
func (p *Plan) Run(told func(Play)) ([]Play, error) {
	variants := append([]Variant{Baseline}, p.Variants...)
	from, err := readSources()
	if err != nil {
		return nil, err
	}
	if err := from.claim(p.Work); err != nil {
		return nil, err
	}
	for _, v := range variants {
		if err := p.prepare(from, v); err != nil {
			return nil, err
		}
	}
	plays, files, err := p.plays(variants)
	if err != nil {
		return nil, err
	}
	errs := make([]error, len(plays))
	var group sync.WaitGroup
	var mu sync.Mutex
	free := make(chan struct{}, p.Jobs)
	for i := range plays {
		group.Add(1)
		free <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-free }()
			errs[i] = p.play(&plays[i], files[i])
			mu.Lock()
			defer mu.Unlock()
			told(plays[i])
		}()
	}
	group.Wait()
	return plays, errors.Join(errs...)
}

// dayFile is what the bench is told of a play's day.
type dayFile struct {
	site string // path
	day  string // name, or path of a day of our own
}

// plays lists all plays, the variants of one day beside each other.
func (p *Plan) plays(variants []Variant) (plays []Play, files []dayFile, err error) {
	for _, site := range p.Sites {
		for _, day := range p.Days {
			file := dayFile{site, day}
			if day == CalmDay {
				if file.day, err = WriteCalmDay(site, p.Work); err != nil {
					return nil, nil, err
				}
			}
			for _, seed := range p.Seeds {
				for _, v := range variants {
					plays = append(plays, Play{Variant: v, Site: siteName(site), Day: day, Seed: seed})
					files = append(files, file)
				}
			}
		}
	}
	return plays, files, nil
}

func (p *Plan) folder(v Variant) string {
	return filepath.Join(p.Work, strings.ReplaceAll(v.Name, "=", "-"))
}

// play has the bench play one day, unless its report is there.
func (p *Plan) play(play *Play, file dayFile) error {
	folder := p.folder(play.Variant)
	report := filepath.Join(folder, fmt.Sprintf("report-%s-%s-%d.json", play.Site, play.Day, play.Seed))
	if readReport(report, play) == nil {
		return nil
	}
	arguments := []string{"run", file.site, file.day, "--seed", strconv.Itoa(play.Seed), "--jobs", "1", "--report", report, "--why", p.Why + ": " + play.Variant.Name}
	if p.Small {
		arguments = append(arguments, "--small")
	}
	if !p.Charged {
		arguments = append(arguments, "--no-cpu")
	}
	run := exec.Command(p.Bench, arguments...)
	run.Dir = folder
	output, err := run.CombinedOutput()
	if readErr := readReport(report, play); readErr != nil {
		return errors.Join(fmt.Errorf("step play of %s, %s %s %d: %s", play.Variant.Name, play.Site, play.Day, play.Seed, tail(output)), readErr, err)
	}
	return nil
}

// tailBytes is how much of what a failed play printed goes into its error.
const tailBytes = 600

func tail(output []byte) string { return string(output[max(0, len(output)-tailBytes):]) }

func readReport(path string, play *Play) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, &play.Result)
}

// Broken names the rules that a play broke, "" if none.
func (r Result) Broken() string {
	switch rules := strings.TrimSpace(string(r.Rules)); rules {
	case "", "null", "{}", "[]":
		return ""
	default:
		return rules
	}
}
