//! Implements `persimmonctl keys new`.

use crate::{args::KeysNewArgs, CtlError};
use persimmon_io::peer::KeyPairPem;
use std::{fs, path::Path};

/// Generates the keys and returns the list of the files written.
pub(crate) fn new_keys(args: &KeysNewArgs) -> Result<String, CtlError> {
    let out = &args.out;
    fs::create_dir_all(out).map_err(|source| CtlError::File {
        path: out.clone(),
        source,
    })?;
    let mut text = String::new();
    let ca = read_or_create_ca(out, &mut text)?;
    for vm in &args.vms {
        let keys = ca.new_vm(vm)?;
        let name = vm.as_str().replace('/', "_");
        let certificate = out.join(format!("{name}.pem"));
        keys.own
            .write(&certificate, &out.join(format!("{name}.key")))?;
        text += &format!("made {}\n", certificate.display());
    }
    Ok(text)
}

fn read_or_create_ca(out: &Path, text: &mut String) -> Result<KeyPairPem, CtlError> {
    let (certificate, key) = (out.join("ca.pem"), out.join("ca.key"));
    if certificate.exists() {
        return Ok(KeyPairPem::read(&certificate, &key)?);
    }
    let ca = KeyPairPem::new_ca()?;
    ca.write(&certificate, &key)?;
    *text += &format!(
        "made {}; keep {} off the VMs\n",
        certificate.display(),
        key.display()
    );
    Ok(ca)
}
