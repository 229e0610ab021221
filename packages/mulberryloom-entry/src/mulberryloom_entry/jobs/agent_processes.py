"""The processes of agents whose reports count.

A process of an agent is named anew at its start, and has sessions of its own.
What an earlier process sent may arrive after the first messages of its
successor, and says nothing of the worker any more.
"""

from mulberryloom_core import identity


class AgentProcesses:
    """Tells the present process of each VM's agent from earlier ones."""

    __slots__ = ('_node_by_vm', '_earlier_nodes')

    def __init__(self) -> None:
        self._node_by_vm: dict[str, str] = {}
        #: Earlier processes whose session is still open.
        self._earlier_nodes: set[str] = set()

    def on_session(self, node: str) -> None:
        """Make a process the present one of its VM: it opened a session.

        :param node: peer name of the agent.
        """
        vm = identity.vm_of(node)
        previous = self._node_by_vm.get(vm, node)
        if previous != node:
            self._earlier_nodes.add(previous)
        self._earlier_nodes.discard(node)
        self._node_by_vm[vm] = node

    def on_session_lost(self, node: str) -> None:
        """Forget a process; another one of its VM may be the present one."""
        self._earlier_nodes.discard(node)
        vm = identity.vm_of(node)
        if self._node_by_vm.get(vm) == node:
            del self._node_by_vm[vm]
            self._earlier_nodes -= {
                other
                for other in self._earlier_nodes
                if identity.vm_of(other) == vm
            }

    def is_present(self, node: str) -> bool:
        """Return whether the reports of a process count.

        One that is not known yet counts as the present one from now on.
        """
        if node in self._earlier_nodes:
            return False
        if self._node_by_vm.get(identity.vm_of(node)) != node:
            self.on_session(node)
        return True
