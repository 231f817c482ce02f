package main

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azurerouter/azurerouter/connection/peer"
)

const (
	authorityName     = "authority"
	defaultKeysDays   = 90
	keysDirectoryMode = 0o700
)

// runKeys writes a certificate authority to a folder, unless the folder has one, and a
// certificate signed by it for each name.
func runKeys(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("keys", " NAME...")
	dir := flags.String("dir", "keys", "folder of the certificate authority and of the certificates")
	days := flags.Int("days", defaultKeysDays, "validity of the certificates, in days")
	replace := flags.Bool("replace", false, "replace certificates that exist")
	if code, ok := parseFlags(flags, args, anyOperands, stdout, stderr); !ok {
		return code
	}
	if err := checkKeyNames(flags.Args(), *days); err != nil {
		return usageError(flags, stderr, err.Error())
	}
	written, err := writeKeys(*dir, flags.Args(), time.Duration(*days)*24*time.Hour, *replace)
	for _, files := range written {
		fmt.Fprintf(stdout, "authority %s certificate %s key %s\n", files.Authority, files.Certificate, files.Key)
	}
	if err != nil {
		fmt.Fprintf(stderr, "keys: %v\n", err)
		return exitFailed
	}
	return exitOK
}

func checkKeyNames(names []string, days int) error {
	if len(names) == 0 {
		return errors.New("at least one name is required")
	}
	if days <= 0 {
		return errors.New("days must be positive")
	}
	for _, name := range names {
		if name == authorityName || name == "" || strings.HasPrefix(name, ".") || strings.ContainsAny(name, `/\`) {
			return errors.Newf("%q cannot be used as a name", name)
		}
	}
	return nil
}

// keyFilesIn returns the paths of the key files of a process in dir.
func keyFilesIn(dir, name string) peer.KeyFiles {
	return peer.KeyFiles{
		Authority:   filepath.Join(dir, authorityName+".pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
	}
}

// writeKeys returns the files that it wrote, also when it fails for a later name.
func writeKeys(dir string, names []string, validity time.Duration, replace bool) ([]peer.KeyFiles, error) {
	if err := os.MkdirAll(dir, keysDirectoryMode); err != nil {
		return nil, err
	}
	now := time.Now()
	authority, err := openAuthority(dir, now)
	if err != nil {
		return nil, err
	}
	var written []peer.KeyFiles
	for _, name := range names {
		files := keyFilesIn(dir, name)
		if _, err := os.Stat(files.Certificate); err == nil && !replace {
			return written, errors.Newf("%s exists; use -replace to issue another", files.Certificate)
		}
		if err := authority.Issue(files, name, now, now.Add(validity)); err != nil {
			return written, err
		}
		written = append(written, files)
	}
	return written, nil
}

// openAuthority loads the authority in dir. It creates one only if neither of its files
// exists: a new authority would invalidate all certificates signed by the old one.
func openAuthority(dir string, now time.Time) (*peer.Authority, error) {
	files := keyFilesIn(dir, authorityName)
	_, certificateErr := os.Stat(files.Certificate)
	_, keyErr := os.Stat(files.Key)
	if !errors.Is(certificateErr, fs.ErrNotExist) || !errors.Is(keyErr, fs.ErrNotExist) {
		return peer.LoadAuthority(files.Certificate, files.Key)
	}
	authority, err := peer.NewAuthority(now)
	if err != nil {
		return nil, err
	}
	return authority, authority.WriteAuthority(files.Certificate, files.Key)
}
