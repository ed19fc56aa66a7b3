export { Admission, type AdmissionOptions } from './Admission.js'
export { decideAdmission, type AdmissionDecision, type ArrivingRequest, type DecideAdmissionOptions } from './decideAdmission.js'
export { planAdmission, admittedShare, type AdmissionPlan, type AdmittedPriority, type AskedWork, type PlanAdmissionOptions } from './planAdmission.js'
export { measureRoom, type RoomTarget, type ServiceRoom } from './measureRoom.js'
