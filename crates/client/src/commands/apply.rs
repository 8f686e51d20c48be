//! `apply`: a document is written on condition that nobody else has changed it.

use bytes::Bytes;
use model::ObjectVersion;
use object_store::{Object, StoreError};
use settings::{AcceptedDocument, ServiceDocument, accepted_path, service_path};

use crate::{
    args::ApplyArgs,
    base::{self, Based},
    commands::{read_file, wait},
    conflict::{Conflict, difference},
    failure::Failure,
    retry::{Store, Updated, decode},
    terminal::Terminal,
};

/// The version of a service that does not exist.
const ABSENT: ObjectVersion = ObjectVersion(0);

/// An edit, and what stands against it in the platform.
struct Edit<'a> {
    args: &'a ApplyArgs,
    document: ServiceDocument,
    text: &'a str,
    base: ObjectVersion,
    current: Option<Object>,
    accepted: Option<AcceptedDocument>,
}

pub(crate) async fn run(
    store: &Store,
    args: &ApplyArgs,
    terminal: &Terminal,
) -> Result<(), Failure> {
    let file = read_file(&args.file)?;
    let edit = Edit::prepare(store, args, &file).await?;
    let service = &edit.document.service;
    if edit.is_unchanged() {
        let version = edit.current_version();
        terminal.line(&format!("{service}: version {version} is the same, nothing is written."));
        return wait::unless(args, store, service, version, terminal).await;
    }
    if edit.base != edit.current_version() {
        return Err(edit.conflict());
    }
    let old = format!("{service}, version {}", edit.base);
    terminal.difference(&difference((&old, &edit.current_text()), (&args.file, edit.text)));
    if args.dry_run {
        terminal.line(&format!("{service}: nothing is written, as asked."));
        return Ok(());
    }
    let version = edit.write(store).await?;
    terminal.line(&format!("{service}: version {version} is written."));
    edit.remember(version)?;
    wait::unless(args, store, service, version, terminal).await
}

impl<'a> Edit<'a> {
    async fn prepare(
        store: &Store,
        args: &'a ApplyArgs,
        file: &'a str,
    ) -> Result<Edit<'a>, Failure> {
        let problems = |problems| Failure::Problems { file: args.file.clone(), problems };
        let document = ServiceDocument::parse(file).map_err(problems)?;
        let Based { document: text, base } = base::split(file);
        let service = &document.service;
        if let Some(base) = base.as_ref().filter(|it| it.service != service.as_str()) {
            let message = format!(
                "{} is based on {}, but its document is that of {service}",
                args.file, base.service
            );
            return Err(Failure::Usage(message));
        }
        let current = store.read(&service_path(service)).await?;
        let accepted = accepted(store, &accepted_path(service)).await?;
        let former = accepted.as_ref().and_then(|it| ServiceDocument::parse(&it.document).ok());
        if let Some(former) = &former {
            ServiceDocument::parse_change(file, former).map_err(problems)?;
        }
        let named = args.base.map(ObjectVersion).or(base.map(|it| it.version));
        let mut edit = Edit { args, document, text, base: ABSENT, current, accepted };
        edit.base = match named {
            Some(base) => base,
            None if edit.current.is_none() || edit.is_unchanged() => edit.current_version(),
            None => return Err(edit.no_base()),
        };
        Ok(edit)
    }

    fn current_version(&self) -> ObjectVersion {
        self.current.as_ref().map_or(ABSENT, |it| it.version)
    }

    fn current_text(&self) -> String {
        let body = self.current.as_ref().map(|it| it.body.as_ref());
        String::from_utf8_lossy(body.unwrap_or_default()).into_owned()
    }

    fn is_unchanged(&self) -> bool {
        self.current.as_ref().is_some_and(|it| it.body == self.text.as_bytes())
    }

    async fn write(&self, store: &Store) -> Result<ObjectVersion, Failure> {
        let path = service_path(&self.document.service);
        let body = Bytes::copy_from_slice(self.text.as_bytes());
        match store.update(&path, self.base, &body).await {
            Ok(Updated::Done(version)) => Ok(version),
            Err(Failure::Platform(error @ StoreError::Unavailable { .. })) => {
                Err(Failure::Unsure(error))
            }
            Err(failure) => Err(failure),
            Ok(Updated::Conflict) => {
                let current = store.read(&path).await?;
                let late = Edit {
                    current,
                    document: self.document.clone(),
                    accepted: self.accepted.clone(),
                    ..*self
                };
                Err(late.conflict())
            }
        }
    }

    /// Notes the new version in the file, so that the next edit is based on it.
    fn remember(&self, version: ObjectVersion) -> Result<(), Failure> {
        if self.args.base.is_some() {
            return Ok(());
        }
        let path = &self.args.file;
        let text = base::join(self.text, &self.document.service, version);
        std::fs::write(path, text).map_err(|source| Failure::File { path: path.clone(), source })
    }

    fn conflict(&self) -> Failure {
        let service = &self.document.service;
        if self.current.is_none() {
            let message = format!(
                "{service} was removed by someone else: your file is based on version {}. Nothing \
                 was written. To make it anew: pomelohill apply --base 0 {}",
                self.base, self.args.file
            );
            return Failure::Conflict(message);
        }
        let of_base = |it: &&AcceptedDocument| it.version.0 == self.base.0;
        let conflict = Conflict {
            service,
            file: &self.args.file,
            mine: self.text,
            base: self.base,
            base_text: self.accepted.as_ref().filter(of_base).map(|it| it.document.as_str()),
            theirs: &self.current_text(),
            current: self.current_version(),
        };
        Failure::Conflict(conflict.explain())
    }

    fn no_base(&self) -> Failure {
        let service = &self.document.service;
        let current = self.current_version();
        let file = &self.args.file;
        Failure::Conflict(format!(
            "{file} does not say on which version of {service} it is based, and the service has \
             version {current}. Nothing was written. Begin from the output of\n  pomelohill get \
             {service}\nor, if the file was made from version {current}, use\n  pomelohill apply \
             --base {current} {file}"
        ))
    }
}

async fn accepted(store: &Store, path: &str) -> Result<Option<AcceptedDocument>, Failure> {
    let object = store.read(path).await?;
    object.map(|it| decode(path, &it.body)).transpose()
}
