package main

// scaleCmd groups the measurements at the size of a large fleet.
type scaleCmd struct {
	Path scalePathCmd `cmd:"" help:"The request path of one server: delay added, CPU, memory, start, reload and /stats by size."`
}
