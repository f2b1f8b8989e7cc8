package sidecar

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/walldrift/walldrift/internal/settings"
)

// reloadInterval is how often the settings file is looked at, as it may change
// without a signal.
const reloadInterval = time.Second

// SettingsFile is a settings file as it was at a time.
type SettingsFile struct {
	path string
	seen stamp
}

// NewSettingsFile returns a file as it is now. Call it before the file is read: a change that
// comes after, and before the file is watched, is then not taken for what was read.
func NewSettingsFile(path string) *SettingsFile {
	return &SettingsFile{path: path, seen: fileState(path)}
}

// WatchSettings takes over changed settings until ctx ends: at once on SIGHUP,
// otherwise when the file's time or size differs. load reads the file; its
// errors are logged, and the settings in force stay.
func (s *Sidecar) WatchSettings(ctx context.Context, file *SettingsFile, load func() (*settings.Sidecar, error)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			s.log.Info("reload asked for by signal")
		case <-tick.C:
			now := fileState(file.path)
			if now == file.seen {
				continue
			}
			file.seen = now
		}
		next, err := load()
		if err != nil {
			s.log.Error("changed settings refused", "err", err)
			continue
		}
		s.Reload(next)
	}
}

// stamp tells two states of a file apart; the zero value stands for none.
type stamp struct {
	modified time.Time
	size     int64
}

func fileState(file string) stamp {
	info, err := os.Stat(file)
	if err != nil {
		return stamp{}
	}
	return stamp{modified: info.ModTime(), size: info.Size()}
}

// Reload takes over the settings that can change while the process runs: the
// service beside it and the log level. Changes of others are named in the log
// and take a restart.
func (s *Sidecar) Reload(next *settings.Sidecar) {
	s.service.Store(&next.Service)
	if level, err := log.ParseLevel(next.LogLevel); err == nil {
		s.log.SetLevel(level)
	}
	kept, asked := *s.cfg, *next
	kept.Service, kept.LogLevel = asked.Service, asked.LogLevel
	s.log.Info("settings reloaded", "service", next.Service, "log_level", next.LogLevel, "restart_needed", kept != asked)
}
