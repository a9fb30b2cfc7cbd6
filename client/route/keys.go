package route

import "time"

// Keys remembers which box has a keyed write, until the write's window is over. At its bound it takes no further
// key: a write whose box could be forgotten is not sent.
type Keys struct {
	most  int
	homes map[string]home
	queue []string // in the order in which they came
}

type home struct {
	box   string
	until time.Duration
}

// NewKeys makes a memory for so many keys.
func NewKeys(most int) *Keys { return &Keys{most: most, homes: map[string]home{}} }

// Put notes that a key's write may have run at a box. False = there is no room.
func (k *Keys) Put(key, box string, until, now time.Duration) bool {
	k.sweep(now)
	if _, ok := k.homes[key]; !ok {
		if len(k.homes) >= k.most {
			return false
		}
		k.queue = append(k.queue, key)
	}
	k.homes[key] = home{box, until}
	return true
}

// Get gives the box of a key, and what is left of its window.
func (k *Keys) Get(key string, now time.Duration) (box string, left time.Duration, ok bool) {
	h, ok := k.homes[key]
	if !ok || h.until <= now {
		return "", 0, false
	}
	return h.box, h.until - now, true
}

// Drop forgets a key whose write is proved never to have run.
func (k *Keys) Drop(key string) { delete(k.homes, key) }

// sweep drops the oldest keys whose window is over.
func (k *Keys) sweep(now time.Duration) {
	n := 0
	for n < len(k.queue) {
		if h, ok := k.homes[k.queue[n]]; ok && h.until > now {
			break
		}
		delete(k.homes, k.queue[n])
		n++
	}
	k.queue = k.queue[n:]
}
