package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

func (f *Fleet) writeSettings() error {
	backends := f.backendSettings()
	if err := writeTOML(f.backends, backends); err != nil {
		return err
	}
	proxies := f.proxySettings()
	if f.proxies != nil {
		if err := writeTOML(f.proxies, map[string]any{
			"control": map[string]any{"http": hostPort(f.proxies.url)},
			"proxy":   proxies,
		}); err != nil {
			return err
		}
	}
	for _, p := range f.keepers {
		if err := writeTOML(p, f.keepSettings(p)); err != nil {
			return err
		}
	}
	for _, p := range f.entries {
		if err := writeTOML(p, f.entrySettings(p)); err != nil {
			return err
		}
	}
	return nil
}

func writeTOML(p *Process, settings map[string]any) error {
	b, err := toml.Marshal(settings)
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", p.name, err)
	}
	if err := os.WriteFile(p.settingsPath, b, 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", p.name, err)
	}
	return nil
}

func (f *Fleet) commonSettings(p *Process) map[string]any {
	return map[string]any{
		"name":   p.name,
		"centre": p.centre,
		"listen": map[string]any{"http": hostPort(p.url), "link": p.linkAddress},
		"keys": map[string]any{
			"authority": f.path(filepath.Join("keys", "fleet.crt")),
			"cert":      f.path(filepath.Join("keys", p.name+".crt")),
			"key":       f.path(filepath.Join("keys", p.name+".key")),
		},
		"platform": map[string]any{"list": f.urls["list"] + "/instances"},
	}
}

func (f *Fleet) keepSettings(p *Process) map[string]any {
	s := f.commonSettings(p)
	s["folder"] = p.dataFolder
	s["account"] = operatorAccount
	s["digest"] = Digest(f.operatorToken)
	s["peers"] = f.keeperAddresses(p)
	voters, spares := []string{}, []string{}
	for i, k := range f.keepers {
		if i < f.options.Keepers {
			voters = append(voters, k.name)
		} else {
			spares = append(spares, k.name)
		}
	}
	s["group"] = map[string]any{"voters": voters, "spares": spares}
	return mergeTables(s, f.options.KeeperSettings)
}

func (f *Fleet) entrySettings(p *Process) map[string]any {
	s := f.commonSettings(p)
	s["keepers"] = f.keeperAddresses(p)
	return mergeTables(s, f.options.EntrySettings)
}

// keeperAddresses maps each keeper to the link address at which p reaches it,
// that of a proxy if links are proxied.
func (f *Fleet) keeperAddresses(p *Process) map[string]any {
	out := make(map[string]any)
	for _, k := range f.keepers {
		out[k.name] = k.linkAddress
		if f.options.ProxyLinks && k != p {
			out[k.name] = f.urls[LinkProxyName(p.name, k.name)]
		}
	}
	return out
}

// LinkProxyName returns the name of the proxy on the link from one instance to
// another.
func LinkProxyName(from, to string) string {
	return "link-" + from + "-" + to
}

// BackendProxyName returns the name of the proxy in front of a backend server.
func BackendProxyName(backend string) string {
	return "wire-" + backend
}

func (f *Fleet) proxySettings() []map[string]any {
	var tables []map[string]any
	add := func(name, kind, target string) string {
		address := f.ports.nextAddress()
		tables = append(tables, map[string]any{"name": name, "kind": kind, "listen": address, "target": target})
		f.controlURLs[name] = f.proxies.url
		return address
	}
	if f.options.ProxyLinks {
		for _, from := range append(append([]*Process{}, f.keepers...), f.entries...) {
			for _, to := range f.keepers {
				if from != to {
					name := LinkProxyName(from.name, to.name)
					f.urls[name] = add(name, "udp", to.linkAddress)
				}
			}
		}
	}
	if f.options.ProxyBackends {
		for _, name := range f.backendNames() {
			f.urls[BackendProxyName(name)] = "http://" + add(BackendProxyName(name), "tcp", hostPort(f.urls[name]))
		}
	}
	return tables
}

func (f *Fleet) backendNames() []string {
	names := make([]string, 0, len(f.options.Engines)+len(f.options.PlainServers))
	for _, e := range f.options.Engines {
		names = append(names, e.Name)
	}
	for _, p := range f.options.PlainServers {
		names = append(names, p.Name)
	}
	return names
}

// backendSettings returns the settings of the simulated servers. It assigns each
// of them an address, which doesn't change on later calls.
func (f *Fleet) backendSettings() map[string]any {
	engines := make([]map[string]any, 0, len(f.options.Engines))
	plains := make([]map[string]any, 0, len(f.options.PlainServers))
	for _, e := range f.options.Engines {
		engines = append(engines, mergeTables(map[string]any{
			"name": e.Name, "listen": f.backendAddress(e.Name), "model": e.Model,
			"role": string(e.Role), "fenced": e.Fenced,
		}, e.ExtraSettings))
	}
	for _, p := range f.options.PlainServers {
		plains = append(plains, mergeTables(map[string]any{
			"name": p.Name, "listen": f.backendAddress(p.Name), "service": p.Service,
		}, p.ExtraSettings))
	}
	s := map[string]any{
		"control": map[string]any{"http": hostPort(f.backends.url)},
		"list":    map[string]any{"listen": f.backendAddress("list")},
		"weights": map[string]any{"listen": f.backendAddress("weights")},
	}
	if len(engines) > 0 {
		s["engine"] = engines
	}
	if len(plains) > 0 {
		s["plain"] = plains
	}
	return s
}

func (f *Fleet) backendAddress(name string) string {
	if f.urls[name] == "" {
		f.urls[name] = "http://" + f.ports.nextAddress()
		f.controlURLs[name] = f.backends.url
	}
	return hostPort(f.urls[name])
}

// BackendURL returns the URL at which the system reaches a backend server: that
// of its proxy if there is one.
func (f *Fleet) BackendURL(name string) string {
	if f.options.ProxyBackends {
		return f.urls[BackendProxyName(name)]
	}
	return f.urls[name]
}

func hostPort(url string) string {
	return strings.TrimPrefix(url, "http://")
}

// mergeTables copies over into base and merges nested tables.
func mergeTables(base, over map[string]any) map[string]any {
	for k, v := range over {
		table, ok := v.(map[string]any)
		old, had := base[k].(map[string]any)
		if ok && had {
			base[k] = mergeTables(old, table)
			continue
		}
		base[k] = v
	}
	return base
}
