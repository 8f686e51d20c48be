//! `get`: a service's document, with the version that an edit of it will be based on.

use settings::service_path;

use crate::{
    args::ServiceArgs, base, commands::service_name, error::CommandError, retry::RetryingStore,
    terminal::Terminal,
};

pub(crate) async fn run(
    store: &RetryingStore,
    args: &ServiceArgs,
    terminal: &Terminal,
) -> Result<(), CommandError> {
    let service = service_name(&args.service)?;
    let path = service_path(&service);
    let Some(object) = store.read(&path).await? else {
        return Err(CommandError::NotFound(format!("there is no service {service}")));
    };
    let text = String::from_utf8_lossy(&object.body);
    terminal.print_raw(&base::append_base_line(&text, &service, object.version));
    Ok(())
}
