//! `apply`: writes a document unless it was changed since the version it is based on.

use bytes::Bytes;
use model::ObjectVersion;
use object_store::{Object, StoreError};
use settings::{AcceptedDocument, ServiceDocument, accepted_path, service_path};

use crate::{
    args::ApplyArgs,
    base::{self, SplitFile},
    commands::{read_file, wait},
    conflict::{Conflict, difference},
    error::CommandError,
    retry::{RetryingStore, UpdateResult, decode},
    terminal::Terminal,
};

/// Version of a document that does not exist.
const ABSENT_VERSION: ObjectVersion = ObjectVersion(0);

/// An edited document, with the platform's current and accepted documents of the service.
struct EditedDocument<'a> {
    args: &'a ApplyArgs,
    document: ServiceDocument,
    text: &'a str,
    base: ObjectVersion,
    current: Option<Object>,
    accepted: Option<AcceptedDocument>,
}

pub(crate) async fn run(
    store: &RetryingStore,
    args: &ApplyArgs,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let file = read_file(&args.file)?;
    let edit = EditedDocument::prepare(store, args, &file).await?;
    let service = &edit.document.service;
    if edit.is_unchanged() {
        let version = edit.current_version();
        terminal.print_line(&format!(
            "{service}: version {version} has the same text; nothing was written."
        ));
        return wait::wait_unless_disabled(args, store, service, version, terminal).await;
    }
    if edit.base != edit.current_version() {
        return Err(edit.conflict_error());
    }
    let old = format!("{service}, version {}", edit.base);
    terminal.print_diff(&difference((&old, &edit.current_text()), (&args.file, edit.text)));
    if args.dry_run {
        terminal.print_line(&format!("{service}: dry run; nothing was written."));
        return Ok(());
    }
    let version = edit.write(store).await?;
    terminal.print_line(&format!("{service}: version {version} was written."));
    edit.record_base_version(version)?;
    wait::wait_unless_disabled(args, store, service, version, terminal).await
}

impl<'a> EditedDocument<'a> {
    async fn prepare(
        store: &RetryingStore,
        args: &'a ApplyArgs,
        file: &'a str,
    ) -> Result<EditedDocument<'a>, CommandError> {
        let problems = |problems| CommandError::InvalidFile { file: args.file.clone(), problems };
        let document = ServiceDocument::parse(file).map_err(problems)?;
        let SplitFile { document: text, base } = base::split_base_line(file);
        let service = &document.service;
        if let Some(base) = base.as_ref().filter(|it| it.service != service.as_str()) {
            let message = format!(
                "{}: the base line names service {}, but the document is of service {service}",
                args.file, base.service
            );
            return Err(CommandError::Usage(message));
        }
        let current = store.read(&service_path(service)).await?;
        let accepted = read_accepted(store, &accepted_path(service)).await?;
        let previous = accepted.as_ref().and_then(|it| ServiceDocument::parse(&it.document).ok());
        if let Some(previous) = &previous {
            ServiceDocument::parse_change(file, previous).map_err(problems)?;
        }
        let requested = args.base.map(ObjectVersion).or(base.map(|it| it.version));
        let mut edit =
            EditedDocument { args, document, text, base: ABSENT_VERSION, current, accepted };
        edit.base = match requested {
            Some(base) => base,
            None if edit.current.is_none() || edit.is_unchanged() => edit.current_version(),
            None => return Err(edit.missing_base_error()),
        };
        Ok(edit)
    }

    fn current_version(&self) -> ObjectVersion {
        self.current.as_ref().map_or(ABSENT_VERSION, |it| it.version)
    }

    fn current_text(&self) -> String {
        let body = self.current.as_ref().map(|it| it.body.as_ref());
        String::from_utf8_lossy(body.unwrap_or_default()).into_owned()
    }

    fn is_unchanged(&self) -> bool {
        self.current.as_ref().is_some_and(|it| it.body == self.text.as_bytes())
    }

    async fn write(&self, store: &RetryingStore) -> Result<ObjectVersion, CommandError> {
        let path = service_path(&self.document.service);
        let body = Bytes::copy_from_slice(self.text.as_bytes());
        match store.update(&path, self.base, &body).await {
            Ok(UpdateResult::Written(version)) => Ok(version),
            Err(CommandError::Platform(error @ StoreError::Unavailable { .. })) => {
                Err(CommandError::UnknownEffect(error))
            }
            Err(failure) => Err(failure),
            Ok(UpdateResult::Conflict) => {
                let current = store.read(&path).await?;
                let outdated = EditedDocument {
                    current,
                    document: self.document.clone(),
                    accepted: self.accepted.clone(),
                    ..*self
                };
                Err(outdated.conflict_error())
            }
        }
    }

    /// Writes the new version into the file's base line, so that the next edit is based on it. With `--base` the
    /// file stays unchanged.
    fn record_base_version(&self, version: ObjectVersion) -> Result<(), CommandError> {
        if self.args.base.is_some() {
            return Ok(());
        }
        let path = &self.args.file;
        let text = base::append_base_line(self.text, &self.document.service, version);
        std::fs::write(path, text)
            .map_err(|source| CommandError::FileAccess { path: path.clone(), source })
    }

    fn conflict_error(&self) -> CommandError {
        let service = &self.document.service;
        if self.current.is_none() {
            let message = format!(
                "{service} has been removed: your file is based on version {}. Nothing was \
                 written. To create the service again: pomelohill apply --base 0 {}",
                self.base, self.args.file
            );
            return CommandError::Conflict(message);
        }
        let is_base = |it: &&AcceptedDocument| it.version.0 == self.base.0;
        let conflict = Conflict {
            service,
            file: &self.args.file,
            edited_text: self.text,
            base: self.base,
            base_text: self.accepted.as_ref().filter(is_base).map(|it| it.document.as_str()),
            current_text: &self.current_text(),
            current: self.current_version(),
        };
        CommandError::Conflict(conflict.explain())
    }

    fn missing_base_error(&self) -> CommandError {
        let service = &self.document.service;
        let current = self.current_version();
        let file = &self.args.file;
        CommandError::Conflict(format!(
            "{file} has no base line, so the version of {service} that it is based on is unknown; \
             the current version is {current}. Nothing was written. Start from the output of\n  \
             pomelohill get {service}\nor, if the file is based on version {current}, use\n  \
             pomelohill apply --base {current} {file}"
        ))
    }
}

async fn read_accepted(
    store: &RetryingStore,
    path: &str,
) -> Result<Option<AcceptedDocument>, CommandError> {
    let object = store.read(path).await?;
    object.map(|it| decode(path, &it.body)).transpose()
}
