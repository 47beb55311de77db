// Package pairs measures what each mechanism of the fleet is worth: it builds the program with one mechanism switched off (package trial), plays the
// same days with the same seeds by the operators' bench with and without it, and prints the paired differences. The bench and its site files are
// named by whoever runs it.
package pairs

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
)

// CalmDay is the name of the day that is made from a site's first day of high load: its traffic, without plan, faults and closing fault.
const CalmDay = "calm"

// calmSource is the day that the calm one is made from.
const calmSource = "scale-1"

const (
	dayHeader   = "[[day]]"
	listOpen    = "["
	listClose   = "]"
	nameField   = "name"
	planField   = "plan"
	faultsField = "faults"
	endField    = "closing"
)

// WriteCalmDay writes the calm day of a site file into a folder, and gives its path.
func WriteCalmDay(site, folder string) (string, error) {
	text, err := os.ReadFile(site)
	if err != nil {
		return "", err
	}
	day, err := calmDay(string(text))
	if err != nil {
		return "", errors.Join(errors.New("step calm day of "+site), err)
	}
	path := filepath.Join(folder, CalmDay+"-"+siteName(site)+".toml")
	return path, os.WriteFile(path, []byte(day), 0o644)
}

// siteName is the name of a site file without folder and ending.
func siteName(site string) string {
	return strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
}

// calmDay cuts the day out of a site file that the calm one is made from, and leaves out what troubles it.
func calmDay(site string) (string, error) {
	for _, section := range strings.Split(site, dayHeader+"\n")[1:] {
		lines := strings.Split(section, "\n")
		if fieldOf(lines[0]) != nameField || !strings.Contains(lines[0], `"`+calmSource+`"`) {
			continue
		}
		return dayHeader + "\n" + nameField + ` = "` + CalmDay + `"` + "\n" + strings.Join(untroubled(lines[1:]), "\n"), nil
	}
	return "", errors.New("no day " + calmSource)
}

// untroubled leaves out the fields that trouble a day. Their lists end with a line that holds the closing bracket alone.
func untroubled(lines []string) (kept []string) {
	inList := false
	for _, line := range lines {
		if inList {
			inList = line != listClose
			continue
		}
		if strings.HasPrefix(line, "[") { // the next table of the site
			break
		}
		switch fieldOf(line) {
		case planField, faultsField, endField:
			inList = strings.HasSuffix(line, listOpen)
		default:
			kept = append(kept, line)
		}
	}
	return kept
}

// fieldOf is the name before the equals sign of a line.
func fieldOf(line string) string {
	name, _, _ := strings.Cut(line, "=")
	return strings.TrimSpace(name)
}
