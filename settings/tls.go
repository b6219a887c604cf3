package settings

import "time"

// TLSSettings are the settings of section [tls]. A listener without a
// certificate speaks plain HTTP.
type TLSSettings struct {
	Callers   CertificateFiles
	Operators CertificateFiles
	Peers     CertificateFiles
	// Authority is a file with the certificates, in PEM, of those who may sign
	// the certificates of the other sides that this host calls; "" means those
	// of the operating system.
	Authority string
	// Reload is the time between two looks at whether the files changed.
	Reload time.Duration
}

// CertificateFiles name a certificate chain and its private key, in PEM.
type CertificateFiles struct {
	Certificate string
	Key         string
}

func readTLS(r *reader) TLSSettings {
	return TLSSettings{
		Callers:   readCertificate(r, "callers"),
		Operators: readCertificate(r, "operators"),
		Peers:     readCertificate(r, "peers"),
		Authority: r.optional("tls.authority"),
		Reload:    r.duration("tls.reload", 100*time.Millisecond, time.Hour, 10*time.Second),
	}
}

func readCertificate(r *reader, listener string) CertificateFiles {
	name := "tls." + listener
	c := CertificateFiles{
		Certificate: r.optional(name + "_certificate"),
		Key:         r.optional(name + "_key"),
	}
	r.require((c.Certificate == "") == (c.Key == ""), name+"_certificate and "+name+"_key go together")
	return c
}
