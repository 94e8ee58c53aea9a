package main

import (
	"cmp"
	"net/http"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/drain"
	"verbenahaven.example/core/conn/intake"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/meter"
)

const (
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10 // of a request of an operator
	// documentShare is the part of a keeper's memory for documents, and documentCopies how
	// many times one is held: as it was read, and as it is sent to the leader.
	documentShare  = 3
	documentCopies = 2
)

// newIntake returns the bounds on what the servers of a keeper hold for calls that haven't
// arrived. Zero stands for an unknown limit.
func newIntake(memory int64, descriptors int, m *meter.Registry) *intake.Intake {
	return intake.New(intake.NewLimits(cmp.Or(memory, boot.MachineMemory()), cmp.Or(descriptors, boot.Descriptors())), m)
}

// newDocuments returns the memory for documents of operators, with a limit of 0 if it is unknown.
func newDocuments(memory int64) *body.Budget {
	return body.NewBudget(cmp.Or(memory, boot.MachineMemory()) / documentShare / documentCopies)
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// newOperatorServer returns a server that can be stopped without cutting operators' calls.
func newOperatorServer(h http.Handler, i *intake.Intake) *drain.Server {
	s := newHTTPServer(h)
	i.Install(s)
	d := drain.New(s)
	d.Wrap(i.Listener)
	return d
}
