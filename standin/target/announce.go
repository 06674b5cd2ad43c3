package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrAnnounce reports that the node refused the announcement.
var ErrAnnounce = errors.New("node refused the announcement")

// AnnounceMessage is the JSON body with which a target announces itself to the node on its
// VM.
type AnnounceMessage struct {
	Name         string   `json:"name"`
	Incarnation  uint64   `json:"incarnation"`
	Address      string   `json:"address"`
	Slots        int      `json:"slots"`
	ChecksFences bool     `json:"checks_fences"`
	Services     []string `json:"services"`
}

// AnnouncedMessage is the node's answer to an announcement.
type AnnouncedMessage struct {
	Node string `json:"node"`
	// Stop asks the target to drain.
	Stop bool `json:"stop"`
}

// Announce announces the target to the node every second until the context is done. It
// drains the target when the node asks for that.
func (t *Target) Announce(ctx context.Context) error {
	if t.config.Node == "" {
		<-ctx.Done()
		return nil
	}
	client := &http.Client{Timeout: announceTimeout}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	accepted := false
	for {
		answer, err := t.announceOnce(ctx, client)
		if (err == nil) != accepted {
			accepted = err == nil
			slog.Info("announcement result changed", "node", t.config.Node, "accepted", accepted, "reason", err)
		}
		if answer.Stop {
			t.Drain()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (t *Target) announceOnce(ctx context.Context, client *http.Client) (AnnouncedMessage, error) {
	if err := t.waitWhileFrozen(ctx); err != nil {
		return AnnouncedMessage{}, err
	}
	body, err := json.Marshal(AnnounceMessage{
		Name:         t.config.Name,
		Incarnation:  t.incarnation,
		Address:      t.config.Address,
		Slots:        t.config.Slots,
		ChecksFences: t.config.CheckFences,
		Services:     t.config.Services,
	})
	if err != nil {
		return AnnouncedMessage{}, errors.Wrap(err, "encode announcement")
	}
	return postAnnouncement(ctx, client, strings.TrimRight(t.config.Node, "/")+"/v1/announce", body)
}

func postAnnouncement(ctx context.Context, client *http.Client, url string, body []byte) (AnnouncedMessage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return AnnouncedMessage{}, errors.Wrap(err, "build announcement request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return AnnouncedMessage{}, errors.Wrap(err, "send announcement")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return AnnouncedMessage{}, errors.Wrapf(ErrAnnounce, "status %d", response.StatusCode)
	}
	var answer AnnouncedMessage
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, errors.Wrap(err, "decode announcement response")
}
