package fleetdemo

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// startWithUnknownFields starts a role whose settings have fields that it doesn't know, with values of all kinds.
func (p *startPlay) startWithUnknownFields(role startRole) error {
	settings, text, err := p.settingsOf(role)
	if err != nil {
		return err
	}
	for _, unknown := range []string{
		`new.field=C:\users`, `new.field=\uZZZZ`, `new.field=ends with a backslash\`, "new.field=${ip}", "new.field=${new.field}", "=no name", "no value",
		"new.field=\xff\xfe", "new.field=" + strings.Repeat("x", 200<<10), "new:field=1", "new field=1", "#", "!", "new.field==", "\ufeffnew.field=1",
	} {
		if err := os.WriteFile(settings, []byte(unknown+"\n"+string(text)), fileMode); err != nil {
			return err
		}
		s, err := p.startWith(role, settings, nil)
		if err != nil {
			return err
		}
		if err := s.listens(); err != nil {
			return fmt.Errorf("settings that begin with %.40q: %w", unknown, err)
		}
	}
	return nil
}

// startWhileSettingsAreWritten starts a role while its settings file is missing, empty or written in part.
func (p *startPlay) startWhileSettingsAreWritten(role startRole) error {
	settings, text, err := p.settingsOf(role)
	if err != nil {
		return err
	}
	for _, part := range []int{-1, 0, len(text) / 3, len(text) - 3} {
		os.Remove(settings)
		if part >= 0 {
			if err := os.WriteFile(settings, text[:part], fileMode); err != nil {
				return err
			}
		}
		s, err := p.startWith(role, settings, nil)
		if err != nil {
			return err
		}
		if part < len(text)/2 {
			time.Sleep(hindranceTime)
		}
		if err := os.WriteFile(settings, text, fileMode); err != nil {
			return err
		}
		if err := s.listens(); err != nil {
			return fmt.Errorf("%d of %d bytes of the settings written: %w", part, len(text), err)
		}
	}
	return nil
}

// settingsOf writes a role's settings file, and returns it and its text.
func (p *startPlay) settingsOf(role startRole) (path string, text []byte, err error) {
	if path, err = role.settings(p.world); err != nil {
		return "", nil, err
	}
	text, err = os.ReadFile(path)
	return path, text, err
}
