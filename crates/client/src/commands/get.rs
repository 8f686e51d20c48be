//! `get`: a service's document, with the version that an edit of it will be based on.

use settings::service_path;

use crate::{
    args::ServiceArgs, base, commands::service_name, failure::Failure, retry::Store,
    terminal::Terminal,
};

pub(crate) async fn run(
    store: &Store,
    args: &ServiceArgs,
    terminal: &Terminal,
) -> Result<(), Failure> {
    let service = service_name(&args.service)?;
    let path = service_path(&service);
    let Some(object) = store.read(&path).await? else {
        return Err(Failure::NotFound(format!("there is no service {service}")));
    };
    let text = String::from_utf8_lossy(&object.body);
    terminal.raw(&base::join(&text, &service, object.version));
    Ok(())
}
