//! One router as a process, with engines behind it.

use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use snafu::ResultExt;
use tokio::time::Instant;

use super::ApplySnafu;
use super::FileSnafu;
use super::MachineSnafu;
use super::OverheadError;
use super::ProcessSnafu;
use crate::caller::Call;
use crate::engine::Pace;
use crate::process::ChildProcess;
use crate::site::RoutersError;
use crate::site::Site;
use crate::site::StandIns;
use crate::site::apply_site;
use crate::site::settings_text;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

const SITE: &str = "example";
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL: Duration = Duration::from_millis(20);
const CALL_TIMEOUTS: Timeouts =
    Timeouts { connect: Duration::from_secs(1), head: Duration::from_secs(1) };

/// A router's process with what stands around it.
pub(super) struct RoutedEngines {
    pub site: Site,
    pub stand_ins: StandIns,
    pub router: ChildProcess,
    settings_file: PathBuf,
    pool: Pool,
}

impl RoutedEngines {
    /// Starts engines of this pace and a router before them.
    pub async fn start(engines: usize, pace: Pace) -> Result<Self, OverheadError> {
        let mut site = Site::load(SITE).context(FileSnafu)?;
        site.engines = engines;
        site.pace = pace;
        let stand_ins = StandIns::start(&site).await.context(MachineSnafu)?;
        apply_site(&site, &stand_ins).await.context(ApplySnafu)?;
        let extra = "[log]\nlevel = error\n";
        let settings = settings_text("router-1", "a", stand_ins.platform.address, extra);
        let port = stand_ins.platform.address.port();
        let file_name = format!("redwingrill-overhead-{}-{port}.ini", std::process::id());
        let settings_file = std::env::temp_dir().join(file_name);
        std::fs::write(&settings_file, settings).context(MachineSnafu)?;
        let program = std::env::current_exe().context(MachineSnafu)?;
        let path = settings_file.to_string_lossy();
        let arguments = ["router", "--settings", &path];
        let router = ChildProcess::start(&program, &arguments).await.context(ProcessSnafu)?;
        let pool = Pool::new();
        let routed = Self { site, stand_ins, router, settings_file, pool };
        routed.ready().await?;
        Ok(routed)
    }

    /// Returns a call with the account's key and an identifier for engines.
    pub fn call(&self, id: &str, question: &str, max_tokens: u32) -> Call {
        Call {
            api_key: self.site.accounts[0].api_key.clone(),
            request_id: id.to_owned(),
            ..Call::new(&self.site.model, question, max_tokens)
        }
    }

    async fn ready(&self) -> Result<(), OverheadError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while self.status("GET", "/ready").await != Some(StatusCode::OK) {
            if Instant::now() >= deadline {
                return Err(OverheadError::Router { source: RoutersError::NotConfigured });
            }
            tokio::time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    async fn status(&self, method: &str, path: &str) -> Option<StatusCode> {
        let request = Request::builder().method(method).uri(path).header("host", "router");
        let request = request.body(Bytes::new()).expect("a plain request");
        let address = self.router.admin_address;
        let reply = self.pool.send(address, request, Freshness::New, &CALL_TIMEOUTS).await.ok()?;
        Some(reply.status())
    }

    /// Stops the router gracefully, then the rest.
    pub async fn stop(self) -> Result<(), OverheadError> {
        // A router that does not hear it is killed after the deadline below.
        let _ = self.status("POST", "/drain").await;
        self.pool.close().await;
        let ended = self.router.ended().await;
        self.stand_ins.stop().await;
        // The file lies in the directory for temporary files; a left one harms nothing.
        let _ = std::fs::remove_file(&self.settings_file);
        ended.context(ProcessSnafu)?;
        Ok(())
    }
}
