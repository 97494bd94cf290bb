package catalog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxSlots is the largest number of slots of a service. It bounds the memory that a decoded table
// can allocate.
const maxSlots = 1 << 20

// homeRun stands for Count consecutive slots with equal homes (run-length encoding).
type homeRun struct {
	_          struct{} `cbor:",toarray"`
	Count      int
	Region     string
	To         string
	Generation uint64
}

// serviceTable is the encoded form of a service.
type serviceTable struct {
	Name  string    `cbor:"1,keyasint"`
	Keyed bool      `cbor:"2,keyasint"`
	Homes []homeRun `cbor:"3,keyasint,omitempty"`
}

// table is the encoded form of a state, or of some of its services.
type table struct {
	Version  uint64         `cbor:"1,keyasint"`
	Services []serviceTable `cbor:"2,keyasint"`
}

// Encode returns the named services in CBOR, or all services if no name is given.
func (s *State) Encode(names ...string) ([]byte, error) {
	if len(names) == 0 {
		names = s.Names()
	}
	encoded := table{Version: s.version}
	for _, name := range names {
		if service := s.services[name]; service != nil {
			encoded.Services = append(encoded.Services, service.table())
		}
	}
	data, err := cbor.Marshal(encoded)
	return data, errors.Wrap(err, "encode catalog")
}

func (s *Service) table() serviceTable {
	t := serviceTable{Name: s.Name, Keyed: s.Keyed}
	for _, home := range s.Homes {
		last := len(t.Homes) - 1
		if last >= 0 && t.Homes[last].home() == home {
			t.Homes[last].Count++
			continue
		}
		t.Homes = append(t.Homes, homeRun{Count: 1, Region: home.Region, To: home.To, Generation: home.Generation})
	}
	return t
}

func (r homeRun) home() Home {
	return Home{Region: r.Region, To: r.To, Generation: r.Generation}
}

// Update adds or replaces the services of an encoded table and adopts its version. A table whose
// version is not above the state's is ignored, so that an outdated table cannot undo changes.
// Errors wrap ErrInvalidTable and leave the state unchanged.
func (s *State) Update(data []byte) error {
	var decoded table
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return errors.Wrap(ErrInvalidTable, err.Error())
	}
	if decoded.Version <= s.version {
		return nil
	}
	services := make([]*Service, 0, len(decoded.Services))
	for _, t := range decoded.Services {
		service, err := t.service()
		if err != nil {
			return err
		}
		services = append(services, service)
	}
	for _, service := range services {
		s.services[service.Name] = service
	}
	s.version = decoded.Version
	return nil
}

func (t serviceTable) service() (*Service, error) {
	service := &Service{Name: t.Name, Keyed: t.Keyed}
	for _, run := range t.Homes {
		if run.Count <= 0 || len(service.Homes)+run.Count > maxSlots {
			return nil, errors.Wrapf(ErrInvalidTable, "service %q: slot count %d is out of range", t.Name, run.Count)
		}
		for range run.Count {
			service.Homes = append(service.Homes, run.home())
		}
	}
	return service, nil
}
