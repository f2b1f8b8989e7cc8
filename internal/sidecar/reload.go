package sidecar

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/walldrift/walldrift/internal/settings"
)

// reloadInterval is how often the settings file is checked, as it may change without a
// signal.
const reloadInterval = time.Second

// SettingsFile is a settings file with the state in which it was last seen.
type SettingsFile struct {
	path string
	seen fileStamp
}

// NewSettingsFile returns a settings file in its present state. Call it before the file is
// read, so that WatchSettings notices a change that comes after the reading and before the
// watching.
func NewSettingsFile(path string) *SettingsFile {
	return &SettingsFile{path: path, seen: statFile(path)}
}

// WatchSettings applies changed settings until ctx is cancelled: at once on SIGHUP,
// otherwise when the modification time or the size of the file changes. load reads the
// file. Its errors are logged, and the settings in force stay.
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
			now := statFile(file.path)
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

// fileStamp identifies the state of a file. The zero value stands for a missing file.
type fileStamp struct {
	modified time.Time
	size     int64
}

func statFile(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}

// Reload applies the settings that can change while the process runs: the service of the
// own upstream and the log level. If others have changed, the log line says that a restart
// is needed.
func (s *Sidecar) Reload(next *settings.Sidecar) {
	s.service.Store(&next.Service)
	if level, err := log.ParseLevel(next.LogLevel); err == nil {
		s.log.SetLevel(level)
	}
	current, requested := *s.cfg, *next
	current.Service, current.LogLevel = requested.Service, requested.LogLevel
	s.log.Info("settings reloaded", "service", next.Service, "log_level", next.LogLevel, "restart_needed", !reflect.DeepEqual(current, requested))
}
