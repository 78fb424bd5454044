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

// cursorSeparator separates the instance ID and the revision in a cursor of the
// host list.
const cursorSeparator = "/"

func (s *Server) getRow(r *http.Request) (response, error) {
	row, err := s.table.Get(r.Context(), r.URL.Query().Get(protocol.QueryKey))
	if err != nil {
		return response{}, err
	}
	return response{json: row}, nil
}

func (s *Server) listRows(r *http.Request) (response, error) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get(protocol.QueryLimit))
	if err != nil {
		return response{}, fmt.Errorf("%w: limit: %w", errBadRequest, err)
	}
	prefix := query.Get(protocol.QueryPrefix)
	after := query.Get(protocol.QueryAfter)
	rows, err := s.table.List(r.Context(), prefix, after, limit)
	if err != nil {
		return response{}, err
	}
	return response{json: protocol.RowsResponse{Rows: rows}}, nil
}

// commit ignores the cancellation of the request: a real table doesn't undo a
// commit that it has received.
func (s *Server) commit(r *http.Request) (response, error) {
	var txn storage.Txn
	if err := readJSON(r, &txn); err != nil {
		return response{}, err
	}
	revision, err := s.table.Commit(context.WithoutCancel(r.Context()), txn)
	if err != nil {
		return response{}, err
	}
	return response{json: protocol.CommitResponse{Revision: revision}}, nil
}

func (s *Server) writeObject(r *http.Request) (response, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", errBadRequest, err)
	}
	name := r.URL.Query().Get(protocol.QueryName)
	return response{}, s.objects.Write(context.WithoutCancel(r.Context()), name, data)
}

func (s *Server) readObject(r *http.Request) (response, error) {
	data, err := s.objects.Read(r.Context(), r.URL.Query().Get(protocol.QueryName))
	if err != nil {
		return response{}, err
	}
	// The body of an empty object must not be nil: writeResponse would send
	// status 204.
	return response{raw: append([]byte{}, data...)}, nil
}

func (s *Server) listHosts(r *http.Request) (response, error) {
	since := s.parseCursor(r.URL.Query().Get(protocol.QuerySince))
	changes, err := s.hosts.Changes(r.Context(), since)
	if err != nil {
		return response{}, err
	}
	return response{json: protocol.HostsResponse{
		Cursor:  s.formatCursor(changes.Revision),
		Full:    changes.Full,
		Hosts:   changes.Hosts,
		Removed: changes.Removed,
	}}, nil
}

// formatCursor returns the cursor of a revision. It includes the instance ID,
// because revisions start again at zero after a restart.
func (s *Server) formatCursor(revision uint64) string {
	return s.instanceID + cursorSeparator + strconv.FormatUint(revision, 10)
}

// parseCursor returns the revision of a cursor, or zero, which selects the whole
// list, if the cursor is invalid or was issued by another instance.
func (s *Server) parseCursor(cursor string) uint64 {
	instanceID, number, _ := strings.Cut(cursor, cursorSeparator)
	revision, err := strconv.ParseUint(number, 10, 64)
	if err != nil || instanceID != s.instanceID {
		return 0
	}
	return revision
}

func (s *Server) rate(r *http.Request) (response, error) {
	var request protocol.RatingRequest
	if err := readJSON(r, &request); err != nil {
		return response{}, err
	}
	rating, err := s.rater.Rate(r.Context(), request.Model, request.Version, request.Prompt, request.Answer)
	if err != nil {
		return response{}, err
	}
	return response{json: rating}, nil
}

func (s *Server) setHost(r *http.Request) (response, error) {
	var host storage.Host
	if err := readJSON(r, &host); err != nil {
		return response{}, err
	}
	if host.ID == "" {
		return response{}, fmt.Errorf("%w: host without an ID", errBadRequest)
	}
	s.hosts.Set(host)
	return response{}, nil
}

func (s *Server) removeHost(r *http.Request) (response, error) {
	s.hosts.Remove(r.PathValue("id"))
	return response{}, nil
}
