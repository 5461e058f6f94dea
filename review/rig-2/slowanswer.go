package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["6"] = answerInPieces }

// answerInPieces has the instances give answers of 60 KiB in pieces, over a second and a half.
func answerInPieces(r *Rig) error {
	list, err := r.instances(8, 100*time.Millisecond)
	if err != nil {
		return err
	}
	for _, i := range list {
		i.length = 60 << 10
		if r.Trouble {
			i.giving = 1500 * time.Millisecond
		}
	}
	listen, err := FreeAddress()
	if err != nil {
		return err
	}
	d, err := r.NewDiscovery("discovery", 41, entries(list)...)
	if err != nil {
		return err
	}
	known := List{Index: 41, Snapshot: true, Endpoints: entries(list)}
	if _, _, err := r.startPlatform(listen, d.Address, "ask", known); err != nil {
		return err
	}
	if err := AwaitReady(listen); err != nil {
		return err
	}
	clients := r.NewClients(listen, "6a")
	clients.Load(200*time.Millisecond, 8*time.Second, nil, lookup, payment)
	results := clients.Results()
	ran := map[string]int{}
	for _, i := range list {
		for _, g := range i.Received() {
			ran[g.ID]++
		}
	}
	served, failed, refused := 0, 0, 0
	for _, res := range results {
		switch {
		case !res.Answered:
			return &Broken{fmt.Sprintf("%s was never answered", res.ID)}
		case res.Status == 200:
			if served++; !strings.Contains(res.Body, res.ID) {
				return &Broken{fmt.Sprintf("%s got another answer", res.ID)}
			}
		case ran[res.ID] > 0:
			failed++
			r.LogAt(res.AnsweredAt, "LOST: %s has run %d times, its instance gave the answer, and its client got %d after %.2f s of %.1f s", res.ID, ran[res.ID], res.Status,
				(res.AnsweredAt - res.Sent).Seconds(), res.TimeLeft.Seconds())
		default:
			refused++
		}
	}
	r.Log("%d requests: %d served, %d have run and failed, %d refused", len(results), served, failed, refused)
	if failed > 0 {
		return &Broken{fmt.Sprintf("%d of %d requests have run, and their answers were cut off while the instance gave them", failed, len(results))}
	}
	return nil
}
