//! Generates and stores the certificates and keys of daemons.

use super::PeerError;
use persimmon_core::ids::VmId;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use std::{fmt, fs, path::Path};

/// The DNS name that every daemon's certificate carries; the VM is in the common name.
pub(super) const SERVER_NAME: &str = "persimmond";

/// A certificate and its private key, both as PEM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyPairPem {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// A private key as PEM.
#[derive(Clone, Eq, PartialEq)]
pub struct PrivateKeyPem(String);

impl PrivateKeyPem {
    /// Generates a key.
    ///
    /// # Errors
    ///
    /// The library can't generate it.
    pub fn generate() -> Result<Self, PeerError> {
        let key = KeyPair::generate().map_err(|e| malformed("VM key", &e))?;
        Ok(Self(key.serialize_pem()))
    }
}

impl fmt::Debug for PrivateKeyPem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PrivateKeyPem(..)")
    }
}

/// The keys of one daemon: its own certificate and key, and the CA certificate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Keys {
    /// The CA certificate as PEM.
    pub ca: String,
    /// The daemon's own certificate and key.
    pub own: KeyPairPem,
}

impl KeyPairPem {
    /// Generates a certificate authority.
    ///
    /// # Errors
    ///
    /// The library can't generate or sign the certificate.
    pub fn new_ca() -> Result<Self, PeerError> {
        let mut params = params(Vec::new())?;
        params
            .distinguished_name
            .push(DnType::CommonName, "persimmonfront CA");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let key = KeyPair::generate().map_err(|e| malformed("CA key", &e))?;
        let certificate = params
            .self_signed(&key)
            .map_err(|e| malformed("CA certificate", &e))?;
        Ok(Self {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Generates the certificate and key of one VM, signed by this CA.
    ///
    /// # Errors
    ///
    /// This is no CA, or the library can't generate or sign the certificate.
    pub fn new_vm(&self, vm: &VmId) -> Result<Keys, PeerError> {
        self.sign_vm(vm, &PrivateKeyPem::generate()?)
    }

    /// Generates the certificate of one VM for a key that it has, signed by this CA.
    ///
    /// # Errors
    ///
    /// This is no CA, `key` is malformed, or the library can't sign the certificate.
    pub fn sign_vm(&self, vm: &VmId, key: &PrivateKeyPem) -> Result<Keys, PeerError> {
        let ca_key = KeyPair::from_pem(&self.key).map_err(|e| malformed("CA key", &e))?;
        let issuer = Issuer::from_ca_cert_pem(&self.certificate, ca_key)
            .map_err(|e| malformed("CA certificate", &e))?;
        let mut params = params(vec![SERVER_NAME.to_owned()])?;
        params
            .distinguished_name
            .push(DnType::CommonName, vm.as_str());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::from_pem(&key.0).map_err(|e| malformed("VM key", &e))?;
        let certificate = params
            .signed_by(&key, &issuer)
            .map_err(|e| malformed("VM certificate", &e))?;
        let own = KeyPairPem {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        };
        Ok(Keys {
            ca: self.certificate.clone(),
            own,
        })
    }

    /// Reads a certificate and its key.
    ///
    /// # Errors
    ///
    /// Names the file that can't be read.
    pub fn read(certificate: &Path, key: &Path) -> Result<Self, PeerError> {
        Ok(Self {
            certificate: read(certificate)?,
            key: read(key)?,
        })
    }

    /// Writes a certificate and its key. Only the owner of the file can read the key.
    ///
    /// # Errors
    ///
    /// Names the file that can't be written.
    pub fn write(&self, certificate: &Path, key: &Path) -> Result<(), PeerError> {
        write(certificate, &self.certificate, 0o644)?;
        write(key, &self.key, 0o600)
    }
}

impl Keys {
    /// Reads the keys of one daemon.
    ///
    /// # Errors
    ///
    /// Names the file that can't be read.
    pub fn read(ca: &Path, certificate: &Path, key: &Path) -> Result<Self, PeerError> {
        Ok(Self {
            ca: read(ca)?,
            own: KeyPairPem::read(certificate, key)?,
        })
    }
}

fn params(names: Vec<String>) -> Result<CertificateParams, PeerError> {
    CertificateParams::new(names).map_err(|e| malformed("certificate", &e))
}

fn malformed(what: &'static str, error: &rcgen::Error) -> PeerError {
    PeerError::Malformed {
        what,
        reason: error.to_string(),
    }
}

fn read(path: &Path) -> Result<String, PeerError> {
    fs::read_to_string(path).map_err(|source| PeerError::File {
        path: path.into(),
        source,
    })
}

fn write(path: &Path, text: &str, mode: u32) -> Result<(), PeerError> {
    use std::{io::Write, os::unix::fs::OpenOptionsExt};

    let mut options = fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(mode);
    let written = options
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|source| PeerError::File {
        path: path.into(),
        source,
    })
}
