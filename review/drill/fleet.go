package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Values of a small deployment, from the users' site ddgsc-gateway.
const (
	region   = "qld-south"
	memoryMB = 284
	cpuQuota = "0.32"
)

var zones = []string{"qld-south-a", "qld-south-b", "qld-south-c"}

// daemon is one host with its daemon.
type daemon struct {
	name, zone, ip string
	// frontend, readiness, control, registry and admin are its addresses.
	frontend, readiness, control, registry, admin string
	settings                                      string
	process                                       *exec.Cmd
	exited                                        chan struct{}
}

// fleet holds the daemons of a case.
type fleet struct {
	program, template string
	record            *record
	dir               string
	daemons           []*daemon
}

func newFleet(program, template string, r *record) *fleet {
	return &fleet{program: program, template: template, record: r}
}

// freeAddresses returns count addresses of a loopback IP, each with a port that is free for TCP
// and UDP.
func freeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < count; tries++ {
		if tries > 10*count {
			return nil, fmt.Errorf("no free ports on %s", ip)
		}
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// All stay open until the last is found, so that no port comes twice.
		defer func() { _ = ln.Close() }()
		address := ln.Addr().String()
		if pc, err := net.ListenPacket("udp", address); err == nil {
			_ = pc.Close()
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

// start starts count daemons, in turn in each zone, and waits until all are ready.
func (f *fleet) start(count int, platform string) error {
	var err error
	if f.dir, err = os.MkdirTemp("", "drill-"); err != nil {
		return err
	}
	for i := range count {
		zone := i % len(zones)
		d := &daemon{name: fmt.Sprintf("edge-%s-%d", zones[zone], i/len(zones)+1), zone: zones[zone], ip: fmt.Sprintf("127.0.%d.%d", 20+zone, 30+i/len(zones))}
		a, err := freeAddresses(d.ip, 5)
		if err != nil {
			return err
		}
		d.frontend, d.readiness, d.control, d.registry, d.admin = a[0], a[1], a[2], a[3], a[4]
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		if err := f.writeSettings(d, platform, true); err != nil {
			return err
		}
		if err := f.launch(d); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the settings template of the deploy file for a daemon.
func (f *fleet) writeSettings(d *daemon, platform string, bootstrap bool) error {
	text, err := os.ReadFile(f.template)
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range f.daemons[:min(3, len(f.daemons))] {
		seeds = append(seeds, s.control)
	}
	_, adminPort, err := net.SplitHostPort(d.admin)
	if err != nil {
		return err
	}
	filled := fill(string(text), map[string]string{
		"node_name": d.name, "bootstrap": fmt.Sprint(bootstrap), "region": region, "zone": d.zone, "ip": d.ip,
		"limits.cpu_quota": cpuQuota, "limits.bandwidth_mbps": "1000.0", "limits.memory_mb": fmt.Sprint(memoryMB),
		"listen.frontend": d.frontend, "listen.registry": d.registry, "listen.readiness": d.readiness, "listen.control_plane": d.control,
		"internal_ports.0": adminPort, "platform.address": platform, "platform.reads_per_s": "2000",
		"bounds.grace_s": "6", "bounds.retry_ratio": "0.2", "bounds.retry_window_s": "10", "bounds.retry_allowance": "58",
	}, map[string][]string{"seeds": seeds})
	d.settings = filepath.Join(f.dir, d.name+".conf")
	return os.WriteFile(d.settings, []byte(filled), 0o600)
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills in a template of the users' platform as far as the project's template needs it.
func fill(template string, values map[string]string, lists map[string][]string) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		name, body := parts[1], parts[2]
		if list, isList := lists[name]; isList {
			var out strings.Builder
			for i, entry := range list {
				comma := ","
				if i == len(list)-1 {
					comma = ""
				}
				out.WriteString(strings.NewReplacer("{{.}}", entry, "{{,}}", comma).Replace(body))
			}
			return out.String()
		}
		if _, known := values[name]; known {
			return body
		}
		return ""
	})
	return valuePattern.ReplaceAllStringFunc(text, func(v string) string { return values[strings.Trim(v, "{}")] })
}

// launch starts the process of a daemon.
func (f *fleet) launch(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.process = exec.Command(f.program, "--config", d.settings)
	d.process.Env = append([]string{"SHALLOTGLADE_CONFIG=" + d.settings}, "PATH="+os.Getenv("PATH"), "HOME="+os.Getenv("HOME"))
	d.process.Stdout, d.process.Stderr = log, log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.process.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	process, exited := d.process, d.exited
	go func() {
		_ = process.Wait()
		_ = log.Close()
		f.record.printf("daemon %s ended: %v", d.name, process.ProcessState)
		close(exited)
	}()
	f.record.printf("daemon %s started at %s", d.name, d.frontend)
	return nil
}

// hasExited reports whether the process of the daemon has ended.
func (d *daemon) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + d.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready after %v", d.name, limit)
}

// end kills all daemons that still run.
func (f *fleet) end() {
	for _, d := range f.daemons {
		if d.process == nil {
			continue
		}
		_ = d.process.Process.Kill()
		<-d.exited
	}
	if f.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
