package process

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Report logs why a duty ended, unless it was asked to.
func Report(logger *log.Logger, duty string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		logger.Error().Str("duty", duty).Err(err).Msg("duty ended")
	}
}

// LinkEnded returns what logs why accepted links ended.
func LinkEnded(logger *log.Logger) func(remote string, err error) {
	return func(remote string, err error) {
		logger.Debug().Str("remote", remote).Err(err).Msg("accepted link ended")
	}
}
