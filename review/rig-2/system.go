// Command rig plays one case of the review. It starts the project's programs as the deploy
// file says, on loopback addresses, between stand-ins for the platform's list, the engines,
// the operator and the clients.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. Each machine has a loopback address of its own.
const (
	portReady = iota
	portFront
	portControl
	portDirectory
	portList
	portEngine
	portInternal // the first of sixteen
)

const (
	callTimeout = time.Second
	bootTime    = 20 * time.Second // until all machines are ready
)

// system is a small deployment.
type system struct {
	repo, folder string
	record       *record
	network      string // first three bytes of all addresses
	basePort     int
	options      options
	machines     []*machine
	list         *list
	engines      []*engine

	mutex sync.Mutex
	nextA int // last byte of the next stand-in's address
}

// options are what the settings of the machines say.
type options struct {
	zones      []string // of each machine
	noDisk     int      // machines at the end that have no disk and don't serve control
	seeds      []int    // indices of the seeds, nil for the first three machines
	machines   int      // fault_tolerance
	tolerZones int      // fault_tolerance by zones
	graceS     int
	memoryMB   int
	fencing    bool
}

type machine struct {
	index         int
	ip, zone      string
	disk          bool
	settings      string
	data          string
	entryd, keepd *process
}

type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
	asked   bool // the rig asked it to end
}

// record is what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) say(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func newSystem(repo, out string, o options) (*system, error) {
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{repo: repo, folder: folder, record: &record{file: file, began: time.Now()}, options: o, nextA: 100}
	s.network = fmt.Sprintf("127.%d.%d.", 80+rand.IntN(100), 1+rand.IntN(250))
	if s.basePort, err = freePorts(s.network + "1"); err != nil {
		return nil, err
	}
	for i, zone := range o.zones {
		s.machines = append(s.machines, &machine{
			index: i, ip: s.network + strconv.Itoa(i+1), zone: zone, disk: i < len(o.zones)-o.noDisk,
			settings: filepath.Join(folder, fmt.Sprintf("boot-%d.toml", i)), data: filepath.Join(folder, fmt.Sprintf("data-%d", i)),
		})
	}
	s.list = &list{system: s}
	return s, serve(s.address(99, portList), s.list)
}

// freePorts returns the first of a range of free ports of an address.
func freePorts(ip string) (int, error) {
	for range 200 {
		base, free := 20000+rand.IntN(400)*30, true
		for p := base; p < base+portInternal+16 && free; p++ {
			l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(p)))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

func (s *system) address(host, port int) string {
	return s.network + strconv.Itoa(host) + ":" + strconv.Itoa(s.basePort+port)
}

func (m *machine) at(s *system, port int) string { return s.address(m.index+1, port) }

func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}

func (s *system) writeSettings(m *machine, bootstrap bool) error {
	o := s.options
	seeds := o.seeds
	if seeds == nil {
		seeds = []int{0, 1, 2}
	}
	var seedText []string
	for _, i := range seeds {
		seedText = append(seedText, strconv.Quote(s.machines[i].at(s, portControl)))
	}
	serves, control, data := `"front","control","directory"`, m.at(s, portControl), m.data
	if !m.disk {
		serves, control, data = `"front","directory"`, "", ""
	} else if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	text := fmt.Sprintf(`node_name = "front-%s-%d"
role = "machine"
machine_class = "front"
serves = [%s]
ip = %q
zone = %q
region = "here"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = %t
in_failure_budget = %t
data_dir = %q
discovery = "cloud"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine"]
config_mode = "highest"
[zones]
a = "here"
b = "here"
c = "here"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.72
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 64
[fault_tolerance]
machines = %d
zones = %d
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 3000
grace_s = %d
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 60
recover_s = 12
transit_ms = 120
retry_after_s = 3
fencing_required = %t
lease_ms = 3000
thaw_ms = 300
ttl_max_s = 5
[cloud]
address = %q
rate_per_s = 42.0
duties = []
lag_ms = 800
`, m.zone, m.index+1, serves, m.ip, m.zone, s.basePort+portInternal, s.basePort+portInternal+15, strings.Join(seedText, ","), bootstrap, m.disk, data,
		m.at(s, portFront), m.at(s, portReady), control, m.at(s, portDirectory), o.memoryMB, o.machines, o.tolerZones, o.graceS, o.fencing, s.address(99, portList))
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts a program with the command of the deploy file.
func (s *system) start(program, metrics string, m *machine) *process {
	log, err := os.Create(filepath.Join(s.folder, fmt.Sprintf("%s-%d-%d.log", program, m.index, time.Now().UnixNano())))
	if err != nil {
		panic(err)
	}
	p := &process{name: fmt.Sprintf("%s of machine %d", program, m.index), exited: make(chan struct{})}
	p.command = exec.Command(filepath.Join("target", program), "-platform", "-metrics", metrics)
	p.command.Dir = s.repo
	p.command.Env = []string{"VERBENAHAVEN_BOOT=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		panic(err)
	}
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		if !p.asked {
			s.record.say("%s ended by itself: %s", p.name, p.command.ProcessState)
		}
		close(p.exited)
	}()
	return p
}

func (s *system) startEntryd(m *machine) { m.entryd = s.start("entryd", "9464/metrics", m) }

func (s *system) startKeepd(m *machine) { m.keepd = s.start("keepd", "9465/metrics", m) }

func (p *process) signal(sig syscall.Signal) {
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.asked = true
	}
	_ = p.command.Process.Signal(sig)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// close ends all processes that the rig started and removes their files.
func (s *system) close() {
	for _, m := range s.machines {
		for _, p := range []*process{m.entryd, m.keepd} {
			if p != nil {
				p.kill()
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
	_ = s.record.file.Close()
}

// boot starts all machines, publishes the first configuration and waits until all are ready.
func (s *system) boot(config string) error {
	for _, m := range s.machines {
		if err := s.writeSettings(m, true); err != nil {
			return err
		}
		if m.disk {
			s.startKeepd(m)
		}
		s.startEntryd(m)
	}
	if err := waitFor("acknowledgement of the first configuration", bootTime, func() bool { return s.publish(s.machines[0], config) == http.StatusOK }); err != nil {
		return err
	}
	for _, m := range s.machines {
		if err := waitFor(fmt.Sprintf("machine %d to be ready", m.index), bootTime, func() bool { return get("http://"+m.at(s, portReady)+"/-/ready") == http.StatusOK }); err != nil {
			return err
		}
	}
	s.record.say("all machines are ready")
	return nil
}

func waitFor(what string, limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("waited in vain for %s", what)
}

func get(url string) int {
	resp, err := (&http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// publish sends a configuration as the operator does, and returns the status, 0 without an answer.
func (s *system) publish(m *machine, config string) int {
	q, err := http.NewRequest(http.MethodPut, "http://"+m.at(s, portControl)+"/-/config", strings.NewReader(config))
	if err != nil {
		panic(err)
	}
	q.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		s.record.say("operator: PUT at machine %d: no answer", m.index)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
	s.record.say("operator: PUT at machine %d: %d %s", m.index, resp.StatusCode, bytes.TrimSpace(b))
	return resp.StatusCode
}

// read reads the configuration back.
func (s *system) read(m *machine) (status int, body string) {
	resp, err := (&http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + m.at(s, portControl) + "/-/config")
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}
