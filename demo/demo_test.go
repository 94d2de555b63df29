package demo_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/examples"
)

func TestWholePath(t *testing.T) {
	g := NewWithT(t)
	files, err := examples.Files(examples.Clarach)
	g.Expect(err).NotTo(HaveOccurred())
	cfg, err := config.Load(files)
	g.Expect(err).NotTo(HaveOccurred())
	f, err := demo.Start(demo.Options{
		Config:     cfg,
		Entries:    3,
		StepTime:   time.Millisecond,
		AnswerLife: time.Second,
		Logger:     logr.Discard(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	g.Expect(f.WaitReady(ctx)).To(Succeed())
	var out strings.Builder
	g.Expect(demo.Run(ctx, f, &out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("entries written in all: 1"))
}
