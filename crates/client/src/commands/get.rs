//! `get`: prints a service's document, followed by the base line with its version.

use settings::service_path;

use crate::{
    args::ServiceArgs, base, commands::parse_service_name, error::CommandError,
    retry::RetryingStore, terminal::Terminal,
};

pub(crate) async fn run(
    store: &RetryingStore,
    args: &ServiceArgs,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let service = parse_service_name(&args.service)?;
    let path = service_path(&service);
    let Some(object) = store.read(&path).await? else {
        return Err(CommandError::NotFound(format!("service {service} does not exist")));
    };
    let text = String::from_utf8_lossy(&object.body);
    terminal.print_raw(&base::append_base_line(&text, &service, object.version));
    Ok(())
}
