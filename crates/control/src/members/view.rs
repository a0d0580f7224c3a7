//! Immutable view of the fleet's liveness.

use std::net::SocketAddr;

use membership::{BalancerInfo, Condition, Member, MemberId, Members};
use units::{EndpointId, Incarnation, InstanceId};

/// Immutable view of the fleet's liveness, replaced as a whole after changes.
#[derive(Debug, Clone, Default)]
pub struct MembersView {
    /// Endpoints and the state of their agents, sorted by endpoint.
    pub endpoints: Vec<EndpointState>,
    /// Other balancers, sorted by name.
    pub balancers: Vec<BalancerState>,
}

/// Liveness of the agent of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointState {
    /// Endpoint that the agent serves.
    pub endpoint: EndpointId,
    /// Incarnation of the agent, 0 before its first answer.
    pub incarnation: Incarnation,
    /// Whether the agent is alive, suspect or dead.
    pub condition: Condition,
    /// Whether the agent has announced that it accepts no new work.
    pub is_leaving: bool,
}

/// Liveness and addresses of another balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalancerState {
    /// Name of the balancer's instance.
    pub name: InstanceId,
    /// Address where the balancer receives tunnel datagrams.
    pub address: SocketAddr,
    /// Address where the balancer serves gRPC calls.
    pub control_address: SocketAddr,
    /// Incarnation of the balancer's process.
    pub incarnation: Incarnation,
    /// Whether the balancer is alive, suspect or dead.
    pub condition: Condition,
    /// Whether the balancer has announced that it accepts no new work.
    pub is_leaving: bool,
}

impl MembersView {
    /// Copies the state of all members from the membership protocol.
    pub(super) fn new(core: &Members) -> Self {
        let mut view = Self::default();
        for member in core.iter() {
            match (member.id, &member.balancer_info) {
                (MemberId::Agent(endpoint), _) => {
                    view.endpoints.push(endpoint_state(endpoint, member));
                }
                (MemberId::Balancer(_), Some(it)) => {
                    view.balancers.push(balancer_state(it, member));
                }
                (MemberId::Balancer(_), None) => {}
            }
        }
        view.balancers.sort_by(|a, b| a.name.cmp(&b.name));
        view
    }

    /// Returns the state of an endpoint's agent, `None` if the endpoint is unknown.
    #[must_use]
    pub fn find_endpoint(&self, endpoint: EndpointId) -> Option<&EndpointState> {
        let idx = self
            .endpoints
            .binary_search_by_key(&endpoint, |it| it.endpoint)
            .ok()?;
        Some(&self.endpoints[idx])
    }

    /// Returns the control addresses of the balancers that are not dead, sorted by name.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let balancers = self.balancers.iter();
        let balancers = balancers.filter(|it| it.condition != Condition::Dead);
        balancers.map(|it| it.control_address).collect()
    }
}

const fn endpoint_state(endpoint: EndpointId, member: &Member) -> EndpointState {
    EndpointState {
        endpoint,
        incarnation: member.version.incarnation,
        condition: member.condition,
        is_leaving: member.is_leaving,
    }
}

fn balancer_state(info: &BalancerInfo, member: &Member) -> BalancerState {
    BalancerState {
        name: info.name.clone(),
        address: info.address,
        control_address: info.control_address,
        incarnation: member.version.incarnation,
        condition: member.condition,
        is_leaving: member.is_leaving,
    }
}
