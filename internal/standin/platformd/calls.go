package platformd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/protocol"
)

// cursorSeparator stands between the parts of a cursor of the host list.
const cursorSeparator = "/"

func (s *Server) getRow(r *http.Request) (reply, error) {
	row, err := s.table.Get(r.Context(), r.URL.Query().Get(protocol.QueryKey))
	if err != nil {
		return reply{}, err
	}
	return reply{json: row}, nil
}

func (s *Server) listRows(r *http.Request) (reply, error) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get(protocol.QueryLimit))
	if err != nil {
		return reply{}, fmt.Errorf("%w: limit: %w", errBadRequest, err)
	}
	prefix := query.Get(protocol.QueryPrefix)
	after := query.Get(protocol.QueryAfter)
	rows, err := s.table.List(r.Context(), prefix, after, limit)
	if err != nil {
		return reply{}, err
	}
	return reply{json: protocol.Rows{Rows: rows}}, nil
}

// commit takes effect even if its caller has gone: a real table doesn't undo
// what it received.
func (s *Server) commit(r *http.Request) (reply, error) {
	var txn storage.Txn
	if err := readJSON(r, &txn); err != nil {
		return reply{}, err
	}
	revision, err := s.table.Commit(context.WithoutCancel(r.Context()), txn)
	if err != nil {
		return reply{}, err
	}
	return reply{json: protocol.Committed{Revision: revision}}, nil
}

func (s *Server) writeObject(r *http.Request) (reply, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return reply{}, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	name := r.URL.Query().Get(protocol.QueryName)
	return reply{}, s.objects.Write(context.WithoutCancel(r.Context()), name, data)
}

func (s *Server) readObject(r *http.Request) (reply, error) {
	data, err := s.objects.Read(r.Context(), r.URL.Query().Get(protocol.QueryName))
	if err != nil {
		return reply{}, err
	}
	// An empty object has a body too, if one of no bytes.
	return reply{data: append([]byte{}, data...)}, nil
}

func (s *Server) listHosts(r *http.Request) (reply, error) {
	since := s.revisionOf(r.URL.Query().Get(protocol.QuerySince))
	changes, err := s.hosts.Changes(r.Context(), since)
	if err != nil {
		return reply{}, err
	}
	return reply{json: protocol.Hosts{
		Cursor:  s.cursorOf(changes.Revision),
		Full:    changes.Full,
		Hosts:   changes.Hosts,
		Removed: changes.Removed,
	}}, nil
}

// cursorOf returns the cursor of a revision. It names this server too: after a
// restart, revisions begin anew.
func (s *Server) cursorOf(revision uint64) string {
	return s.instance + cursorSeparator + strconv.FormatUint(revision, 10)
}

// revisionOf returns the revision of a cursor, or zero, for the whole list, if
// the cursor isn't this server's.
func (s *Server) revisionOf(cursor string) uint64 {
	instance, number, _ := strings.Cut(cursor, cursorSeparator)
	revision, err := strconv.ParseUint(number, 10, 64)
	if err != nil || instance != s.instance {
		return 0
	}
	return revision
}

func (s *Server) rate(r *http.Request) (reply, error) {
	var request protocol.RatingRequest
	if err := readJSON(r, &request); err != nil {
		return reply{}, err
	}
	rating, err := s.rater.Rate(r.Context(), request.Model, request.Version, request.Prompt, request.Answer)
	if err != nil {
		return reply{}, err
	}
	return reply{json: rating}, nil
}

func (s *Server) setHost(r *http.Request) (reply, error) {
	var host storage.Host
	if err := readJSON(r, &host); err != nil {
		return reply{}, err
	}
	if host.ID == "" {
		return reply{}, fmt.Errorf("%w: host without an ID", errBadRequest)
	}
	s.hosts.Set(host)
	return reply{}, nil
}

func (s *Server) removeHost(r *http.Request) (reply, error) {
	s.hosts.Remove(r.PathValue("id"))
	return reply{}, nil
}
