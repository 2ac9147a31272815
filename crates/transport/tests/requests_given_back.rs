//! Requests that a connection gives back as not sent, while their server ends its connections at any
//! point of an exchange.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

/// The number of sends of each case, for longer runs by hand.
const SENDS_VARIABLE: &str = "REDWINGRILL_SENDS";
const SENDS: u64 = 700;

const SEED: u64 = 61_001;
const ROUNDS: u64 = 20;

const WAIT: Duration = Duration::from_secs(2);

/// What a request begins with, up to its identifier.
const BEFORE_ID: &[u8] = b"POST /";
const ID_BYTES: usize = 10;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Where in an exchange the server ends a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Point {
    /// As it was accepted.
    Accepted,
    /// While no request is on it.
    Idle,
    /// As the first bytes of a request arrive.
    FirstBytes,
    /// As half of a request has arrived.
    Half,
    /// As a whole request has arrived.
    LastByte,
    /// After the last byte of an answer.
    Answered,
}

/// How the server ends a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum End {
    /// In order, and it reads what still arrives.
    HalfClose,
    /// By a close, with what arrived since unread.
    Close,
    /// By a reset.
    Reset,
}

/// Where the server writes a copy of the answer before.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Copy {
    None,
    /// In front of an answer.
    InFront,
    /// Behind an answer, at once or a little later.
    Behind,
}

const POINTS: [Point; 6] = [
    Point::Accepted,
    Point::Idle,
    Point::FirstBytes,
    Point::Half,
    Point::LastByte,
    Point::Answered,
];
const ENDS: [End; 3] = [End::HalfClose, End::Close, End::Reset];
const COPIES: [Copy; 6] =
    [Copy::None, Copy::None, Copy::None, Copy::None, Copy::InFront, Copy::Behind];

/// What happens on one connection.
#[derive(Debug)]
struct Plan {
    /// The answers before the exchange in which it ends.
    answers: u32,
    point: Point,
    end: End,
    copy: Copy,
    /// Whether answers are written before their requests are read.
    is_early: bool,
}

impl Plan {
    fn draw(random: &mut SmallRng) -> Self {
        Self {
            answers: random.random_range(0..6),
            point: POINTS[random.random_range(0..POINTS.len())],
            end: ENDS[random.random_range(0..ENDS.len())],
            copy: COPIES[random.random_range(0..COPIES.len())],
            is_early: random.random_ratio(1, 8),
        }
    }
}

/// Lets others go first, for a moment of any length up to some milliseconds.
async fn pause(random: &mut SmallRng) {
    match random.random_range(0..8) {
        0..3 => {}
        3..7 => {
            for _ in 0..random.random_range(1..60) {
                tokio::task::yield_now().await;
            }
        }
        _ => tokio::time::sleep(Duration::from_millis(random.random_range(1..4))).await,
    }
}

/// How often each request reached the server, on any connection and in any part.
#[derive(Debug)]
struct Arrivals {
    by_id: Vec<AtomicU32>,
    /// Connections that ended within the bytes before an identifier.
    unnamed: AtomicU64,
}

impl Arrivals {
    fn new(sends: u64) -> Self {
        let by_id = (0..sends).map(|_| AtomicU32::default()).collect();
        Self { by_id, unnamed: AtomicU64::default() }
    }

    fn of(&self, id: u64) -> u32 {
        self.by_id[id as usize].load(Ordering::SeqCst)
    }
}

/// The requests on one connection.
struct Requests {
    arrivals: Arc<Arrivals>,
    /// The head that is not complete.
    head: Vec<u8>,
    is_named: bool,
    body_left: usize,
    complete: u32,
}

impl Requests {
    fn new(arrivals: &Arc<Arrivals>) -> Self {
        let arrivals = arrivals.clone();
        Self { arrivals, head: Vec::new(), is_named: false, body_left: 0, complete: 0 }
    }

    /// Returns whether no byte has arrived after the last complete request.
    fn is_between(&self) -> bool {
        self.head.is_empty() && self.body_left == 0
    }

    fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.body_left > 0 {
                let taken = self.body_left.min(data.len());
                self.body_left -= taken;
                data = &data[taken..];
                self.complete += u32::from(self.body_left == 0);
                continue;
            }
            self.head.push(data[0]);
            data = &data[1..];
            if !self.is_named && self.head.len() == BEFORE_ID.len() + ID_BYTES {
                self.name();
            }
            if self.head.ends_with(b"\r\n\r\n") {
                let head = std::mem::take(&mut self.head);
                self.is_named = false;
                self.body_left = content_length(&head);
                self.complete += u32::from(self.body_left == 0);
            }
        }
    }

    fn name(&mut self) {
        assert!(self.head.starts_with(BEFORE_ID), "{:?}", String::from_utf8_lossy(&self.head));
        let id = String::from_utf8_lossy(&self.head[BEFORE_ID.len()..]);
        let id: usize = id.parse().expect("an identifier");
        self.arrivals.by_id[id].fetch_add(1, Ordering::SeqCst);
        self.is_named = true;
    }
}

impl Drop for Requests {
    fn drop(&mut self) {
        if !self.head.is_empty() && !self.is_named {
            self.arrivals.unnamed.fetch_add(1, Ordering::SeqCst);
        }
    }
}

fn content_length(head: &[u8]) -> usize {
    let head = String::from_utf8_lossy(head);
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    length.map_or(0, |length| length.parse().expect("a length"))
}

/// Serves one connection as planned.
async fn serve(mut socket: TcpStream, plan: Plan, arrivals: Arc<Arrivals>, mut random: SmallRng) {
    let mut requests = Requests::new(&arrivals);
    let is_served = run_plan(&mut socket, &plan, &mut requests, &mut random).await;
    match plan.end {
        _ if !is_served => {}
        End::HalfClose => {
            let _ = socket.shutdown().await;
            let mut data = vec![0; 64 << 10];
            while let Ok(read_bytes @ 1..) = socket.read(&mut data).await {
                requests.push(&data[..read_bytes]);
            }
        }
        // What the system has received counts, too: the server could have read it.
        End::Close => {
            let mut data = vec![0; 64 << 10];
            let socket = socket.into_std().expect("an open socket");
            if let Ok(peeked_bytes) = socket.peek(&mut data) {
                requests.push(&data[..peeked_bytes]);
            }
        }
        End::Reset => {
            let mut data = vec![0; 64 << 10];
            let _ = socket.set_zero_linger();
            let mut socket = socket.into_std().expect("an open socket");
            while let Ok(read_bytes @ 1..) = socket.read(&mut data) {
                requests.push(&data[..read_bytes]);
            }
        }
    }
}

/// Returns whether the connection is open at the point where the plan ends it.
async fn run_plan(
    socket: &mut TcpStream,
    plan: &Plan,
    requests: &mut Requests,
    random: &mut SmallRng,
) -> bool {
    if plan.point == Point::Accepted {
        pause(random).await;
        return true;
    }
    // Half of the requests are read in small pieces.
    let piece_bytes = if random.random() { 512 } else { 64 << 10 };
    let mut data = vec![0; piece_bytes];
    for exchange in 0..=plan.answers {
        let is_last = exchange == plan.answers;
        if is_last && plan.point == Point::Idle {
            pause(random).await;
            return true;
        }
        let mut is_answered = false;
        while requests.complete <= exchange {
            let Ok(read_bytes @ 1..) = socket.read(&mut data).await else { return false };
            requests.push(&data[..read_bytes]);
            let is_half = requests.body_left > 0;
            if is_last && (plan.point == Point::FirstBytes || is_half && plan.point == Point::Half)
            {
                return true;
            }
            if plan.is_early && !is_answered {
                is_answered = true;
                if socket.write_all(ANSWER).await.is_err() {
                    return false;
                }
            }
        }
        if is_last && plan.point == Point::LastByte {
            return true;
        }
        let answer = match plan.copy {
            _ if is_answered => Vec::new(),
            Copy::InFront if exchange > 0 => [ANSWER, ANSWER].concat(),
            _ => ANSWER.to_vec(),
        };
        if socket.write_all(&answer).await.is_err() {
            return false;
        }
        if is_last && plan.point == Point::Answered {
            return true;
        }
        if plan.copy == Copy::Behind {
            pause(random).await;
            if requests.is_between() && socket.write_all(ANSWER).await.is_err() {
                return false;
            }
        }
    }
    true
}

/// A server whose connections end as planned, and what has reached it. It has a thread of its own, so
/// that a connection may end while its other side is busy.
struct Server {
    address: SocketAddr,
    arrivals: Arc<Arrivals>,
    stopping: CancellationToken,
    thread: JoinHandle<()>,
}

impl Server {
    fn start(seed: u64, sends: u64) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        listener.set_nonblocking(true).expect("an open socket");
        let arrivals = Arc::new(Arrivals::new(sends));
        let stopping = CancellationToken::new();
        let (noted, stop) = (arrivals.clone(), stopping.clone());
        let thread = thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let listener = TcpListener::from_std(listener).expect("a listener");
                accept_all(listener, seed, noted, stop).await;
            });
        });
        Self { address, arrivals, stopping, thread }
    }

    /// Waits until all connections have ended, and returns what has arrived.
    fn finish(self) -> Arc<Arrivals> {
        self.stopping.cancel();
        self.thread.join().expect("no panic");
        self.arrivals
    }
}

async fn accept_all(
    listener: TcpListener,
    seed: u64,
    arrivals: Arc<Arrivals>,
    stopping: CancellationToken,
) {
    let connections = TaskTracker::new();
    for number in 0.. {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopping.cancelled() => break,
        };
        let (socket, _) = accepted.expect("a connection");
        socket.set_nodelay(true).expect("an open socket");
        let mut random = SmallRng::seed_from_u64(seed ^ (number << 20));
        let plan = Plan::draw(&mut random);
        connections.spawn(serve(socket, plan, arrivals.clone(), random));
    }
    connections.close();
    connections.wait().await;
}

/// How a send ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Outcome {
    Answered,
    /// The connection was closed before the request was handed to it.
    Closed,
    /// Given back, with whether an exchange had ended on the connection.
    GivenBack {
        is_kept: bool,
    },
    NotSent,
    Unconnected,
    Failed,
}

impl Outcome {
    /// Returns whether the sender says that the server cannot have received the request.
    fn is_not_received(self) -> bool {
        !matches!(self, Self::Answered | Self::Failed)
    }
}

fn request(id: u64, random: &mut SmallRng) -> Request<Bytes> {
    let body_bytes = match random.random_range(0..10) {
        0 => 0,
        1..8 => random.random_range(1..3_000),
        _ => random.random_range(50_000..300_000),
    };
    let path = format!("/{id:0ID_BYTES$}");
    let body = Bytes::from(vec![b'u'; body_bytes]);
    Request::post(path).header("host", "a").body(body).expect("a request")
}

/// What sends requests. Clones share their connections.
#[derive(Clone)]
enum Sender {
    Pool(Pool),
    /// The connections of the HTTP library that are kept.
    Connections(Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>),
}

impl Sender {
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        random: &mut SmallRng,
    ) -> Outcome {
        match self {
            Self::Pool(pool) => {
                let is_new = random.random_ratio(1, 8);
                let freshness = if is_new { Freshness::New } else { Freshness::Any };
                send_by_pool(pool, address, request, freshness).await
            }
            Self::Connections(kept) => {
                let connection = {
                    let mut kept = kept.lock().expect("no panic");
                    let count = kept.len();
                    (count > 0).then(|| kept.swap_remove(random.random_range(0..count)))
                };
                let is_kept = connection.is_some();
                let mut connection = match connection {
                    Some(connection) => connection,
                    None => match open(address).await {
                        Some(connection) => connection,
                        None => return Outcome::Unconnected,
                    },
                };
                let request = request.map(Full::new);
                let outcome = send_by_connection(&mut connection, request, is_kept).await;
                if outcome == Outcome::Answered {
                    kept.lock().expect("no panic").push(connection);
                }
                outcome
            }
        }
    }
}

async fn send_by_pool(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Bytes>,
    freshness: Freshness,
) -> Outcome {
    let timeouts = Timeouts { connect: WAIT, head: WAIT };
    let failure = match pool.send(address, request, freshness, &timeouts).await {
        Ok(response) => {
            let _ = response.into_body().read_all(1 << 10, WAIT).await;
            return Outcome::Answered;
        }
        Err(failure) => failure,
    };
    match failure {
        _ if failure.may_have_been_received() => Outcome::Failed,
        TransportError::NotSent => Outcome::NotSent,
        _ => Outcome::Unconnected,
    }
}

async fn open(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // Ends with its sender.
    tokio::spawn(driver);
    Some(sender)
}

async fn send_by_connection(
    connection: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    is_kept: bool,
) -> Outcome {
    if is_kept && !connection.is_ready() {
        return Outcome::Closed;
    }
    match connection.try_send_request(request).await {
        Ok(response) => match response.into_body().collect().await {
            Ok(_) => Outcome::Answered,
            Err(_) => Outcome::Failed,
        },
        Err(mut failure) => match failure.take_message() {
            Some(_) => Outcome::GivenBack { is_kept },
            None => Outcome::Failed,
        },
    }
}

/// What the requests of a case are sent by.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Way {
    Pool,
    Connections,
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    way: Way,
    /// `None` for a runtime of one thread.
    threads: Option<usize>,
    senders: u64,
}

const POOL_CASES: [Case; 4] = [
    Case { name: "one sender", way: Way::Pool, threads: None, senders: 1 },
    Case { name: "many senders", way: Way::Pool, threads: None, senders: 24 },
    Case { name: "many senders, one worker", way: Way::Pool, threads: Some(1), senders: 24 },
    Case { name: "many senders, three workers", way: Way::Pool, threads: Some(3), senders: 24 },
];

const CONNECTION_CASES: [Case; 3] = [
    Case { name: "connections", way: Way::Connections, threads: None, senders: 24 },
    Case { name: "connections, one worker", way: Way::Connections, threads: Some(1), senders: 24 },
    Case {
        name: "connections, three workers",
        way: Way::Connections,
        threads: Some(3),
        senders: 24,
    },
];

/// What the sends of a case came to.
#[derive(Debug, Default)]
struct Figures {
    outcomes: HashMap<Outcome, u64>,
    wrong: Vec<(u64, Outcome, u32)>,
    unnamed: u64,
}

impl Case {
    fn run(&self, seed: u64, sends: u64) -> Figures {
        let mut builder = match self.threads {
            None => runtime::Builder::new_current_thread(),
            Some(threads) => {
                let mut builder = runtime::Builder::new_multi_thread();
                builder.worker_threads(threads);
                builder
            }
        };
        let runtime = builder.enable_all().build().expect("a runtime");
        let server = Server::start(seed, sends);
        let outcomes = runtime.block_on(self.send_all(seed, sends, server.address));
        // Closes what is still open.
        drop(runtime);
        let arrivals = server.finish();
        let mut figures =
            Figures { unnamed: arrivals.unnamed.load(Ordering::SeqCst), ..Figures::default() };
        for (id, outcome) in outcomes {
            *figures.outcomes.entry(outcome).or_default() += 1;
            let arrived = arrivals.of(id);
            if arrived > u32::from(!outcome.is_not_received()) {
                figures.wrong.push((id, outcome, arrived));
            }
        }
        println!("{}: {sends} sends, {:?}", self.name, figures.outcomes);
        figures
    }

    async fn send_all(&self, seed: u64, sends: u64, address: SocketAddr) -> Vec<(u64, Outcome)> {
        let sender = match self.way {
            Way::Pool => Sender::Pool(Pool::new()),
            Way::Connections => Sender::Connections(Arc::default()),
        };
        let mut tasks = JoinSet::new();
        let senders = self.senders;
        for number in 0..senders {
            let sender = sender.clone();
            let mut random = SmallRng::seed_from_u64(seed.wrapping_add(number + 1));
            tasks.spawn(async move {
                let mut outcomes = Vec::new();
                for id in (number..sends).step_by(senders as usize) {
                    pause(&mut random).await;
                    let request = request(id, &mut random);
                    outcomes.push((id, sender.send(address, request, &mut random).await));
                }
                outcomes
            });
        }
        tasks.join_all().await.concat()
    }
}

/// Runs cases until the wanted outcomes have come about, which takes luck.
fn run_until(cases: &[Case], wanted: &[Outcome]) {
    let sends = std::env::var(SENDS_VARIABLE).ok();
    let sends = sends.map_or(SENDS, |sends| sends.parse().expect("a number of sends"));
    let mut outcomes = HashSet::new();
    for (round, case) in (0..ROUNDS).flat_map(|round| cases.iter().map(move |case| (round, case))) {
        if wanted.iter().all(|outcome| outcomes.contains(outcome)) && round > 0 {
            return;
        }
        let figures = case.run(SEED + round, sends);
        assert!(figures.wrong.is_empty(), "{case:?}, round {round}: {:?}", figures.wrong);
        assert_eq!(figures.unnamed, 0, "{case:?}, round {round}");
        outcomes.extend(figures.outcomes.into_keys());
    }
    assert!(wanted.iter().all(|outcome| outcomes.contains(outcome)), "{outcomes:?}");
}

/// A request that is said not to have been sent, or that the pool sends again, was received by
/// nobody.
#[test]
fn request_given_back_was_received() {
    run_until(&POOL_CASES, &[Outcome::NotSent]);
}

/// The pool sends a request again, unseen by its caller, if a connection that had carried others
/// gives it back.
#[test]
fn request_given_back_by_a_kept_connection_was_received() {
    let given_back = [false, true].map(|is_kept| Outcome::GivenBack { is_kept });
    run_until(&CONNECTION_CASES, &given_back);
}
