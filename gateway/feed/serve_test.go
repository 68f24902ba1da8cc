package feed

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/serverlist"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestNotCompleteWithoutEvacuations checks that a router with all other content is not complete until it
// has the evacuated halls. Otherwise it could send requests into an evacuated hall.
func TestNotCompleteWithoutEvacuations(t *testing.T) {
	s := newTestSet()
	s.Config.Offer(&direct.Config{Version: 1}, "a")
	s.Servers.OfferAll(&direct.Directory{}, "a")
	require.False(t, s.Complete())
	s.Evacuations.Offer(&direct.Evacuations{Revision: 4}, "a")
	require.True(t, s.Complete())
	s.Evacuations.Offer(&direct.Evacuations{Revision: 4, Halls: []string{"b"}}, "b")
	s.Evacuations.Offer(&direct.Evacuations{Revision: 3, Halls: []string{"b"}}, "b")
	require.Empty(t, s.Evacuations.Newest().Halls, "a set that is not newer is dropped")
}

// TestListsAgeBeforeTheyArePulled pulls a list of servers some time after the router received it. The
// remaining cold time of each server is reduced by that time.
func TestListsAgeBeforeTheyArePulled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSet()
		s.Servers.OfferAll(&direct.Directory{Revision: 1, Servers: []direct.Server{
			{ID: "i-1", ColdFor: 3 * time.Second}, {ID: "i-2", ColdFor: time.Second}, {ID: "i-3"},
		}}, "source")
		time.Sleep(2 * time.Second)
		response := httptest.NewRecorder()
		s.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, s.Servers.Spec().path(), strings.NewReader("")))
		var pulled serverlist.Update
		require.NoError(t, msgpack.Unmarshal(response.Body.Bytes(), &pulled))
		require.Equal(t, time.Second, pulled.Servers[0].ColdFor)
		require.Zero(t, pulled.Servers[1].ColdFor)
		require.Zero(t, pulled.Servers[2].ColdFor)
	})
}
