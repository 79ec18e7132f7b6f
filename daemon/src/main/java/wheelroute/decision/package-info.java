/**
 * The decisions of a dispatcher, and their public types. {@link wheelroute.decision.Policy} is the
 * entry point, and each kind of decision is made by a class of its own:
 *
 * <ul>
 *   <li>{@link wheelroute.decision.routing.RequestPlacer} decides whether a request gets an attempt
 *       or an answer.
 *   <li>{@link wheelroute.decision.routing.WorkerSelector} selects the worker of least admittance
 *       cost among those that {@link wheelroute.decision.routing.WorkerEligibility} allows.
 *   <li>{@link wheelroute.decision.admission.Admission} rejects a request that would wait too long.
 *   <li>{@link wheelroute.decision.retry.RetryRules} decides whether a request may be attempted
 *       again, and {@link wheelroute.decision.retry.AttemptReplacer} replaces attempts without a
 *       response.
 *   <li>{@link wheelroute.decision.health.OutlierEjection} ejects and reinstates workers, and
 *       {@link wheelroute.decision.health.UnresponsiveWorkerDetector} finds those that do not
 *       respond.
 *   <li>{@link wheelroute.decision.slowstart.SlowStart} limits the work sent to a worker that warms
 *       up.
 *   <li>{@link wheelroute.decision.order.KeyQueues} decides when the next request of a key begins,
 *       and rejects requests of a key whose queue is too long.
 * </ul>
 *
 * <p>Comments refer to the four rules of the operators: (1) every accepted request gets exactly one
 * final answer before its deadline; (2) no request has its effect twice; (3) no attempt is sent
 * later than the grace period after its worker is reported as draining or removed; (4) a worker
 * that warms up is not overloaded by all dispatchers together.
 *
 * <p>The choice of the worker is the first policy iteration rule of Hyytiä and Aalto, "To Split or
 * not to Split", section 4.1. docs/design.md describes the changes to the rule and the cases to
 * which each exception applies.
 */
package wheelroute.decision;
