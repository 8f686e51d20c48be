//! `check`: checks a document or an agent's settings without the platform.

use settings::{AgentSettings, Problems, ServiceDocument};

use crate::{args::CheckArgs, commands::read_file, error::CommandError, terminal::Terminal};

pub(crate) fn run(args: &CheckArgs, terminal: &Terminal) -> Result<(), CommandError> {
    let file = &args.file;
    let text = read_file(file)?;
    let problems = |problems: Problems| CommandError::InvalidFile { file: file.clone(), problems };
    let summary = if args.agent {
        let settings = AgentSettings::parse(&text).map_err(problems)?;
        format!("agent {} of service {}", settings.instance, settings.service)
    } else {
        let document = ServiceDocument::parse(&text).map_err(problems)?;
        let kind = if document.keyed { "sharded by key" } else { "not sharded by key" };
        let routes = document.routes.len();
        format!("service {} of team {}, {kind}, {routes} routes", document.service, document.team)
    };
    terminal.print_line(&format!("{file}: {summary}: no problems."));
    Ok(())
}
